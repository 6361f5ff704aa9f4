export { parseAddress } from './parseAddress.js'
export type { HostAndPort } from './parseAddress.js'
