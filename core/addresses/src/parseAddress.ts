/** An address taken apart, as Node's functions take it. */
export interface HostAndPort {
  host: string
  port: number
}

/** Takes an address apart at its last colon; IPv6 numbers may stand in brackets. */
export function parseAddress (address: string): HostAndPort {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
