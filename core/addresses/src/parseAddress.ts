/** A host and a port, in the form that Node's network functions expect. */
export interface HostAndPort {
  host: string
  port: number
}

/** Splits an address at its last colon. IPv6 addresses may be enclosed in brackets. */
export function parseAddress (address: string): HostAndPort {
  const colon = address.lastIndexOf(':')
  return { host: address.slice(0, colon).replace(/^\[|\]$/g, ''), port: Number(address.slice(colon + 1)) }
}
