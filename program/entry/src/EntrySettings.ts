import type { RateBounds } from '@pulleystack/routing.limits'

/** Bounds that every entry instance enforces. */
export interface EntryBounds {
  /** Retries allowed per request, and additional retries, per window over all instances. */
  retryRatio: number
  retryAllowance: number
  retryWindowMs: number
  /** Permitted excess over the quotas of teams, summed over all instances; undefined if quotas are not enforced. */
  quota: RateBounds | undefined
  /** Maximum time from a configuration change until every instance has applied it, in milliseconds. */
  configLagMs: number
  /** Duration of the placement lease, in milliseconds. */
  leaseMs: number
  /** Window in which loads from the weight store are counted, and by how much they may exceed the rate. */
  loadWindowMs: number
  loadOver: number
  /** How long a server that stops as planned still serves after it says so or its entry is removed, in milliseconds. */
  drainMs: number
  /** Time from the stop request to the exit of the process, in milliseconds. */
  graceMs: number
}

/** Bounds of what all clients together may make an entry instance hold. */
export interface EntryLimits {
  /** Bytes of request bodies, and of responses that clients don't read. */
  heldBytes: number
  /** Open connections at the address for clients. */
  clientConnections: number
  /** Open connections at each of the platform's own addresses. */
  platformConnections: number
  /** Open connections at the address for other instances that have not identified themselves. */
  unidentifiedPeers: number
}

/** Settings of one entry instance. */
export interface EntrySettings {
  instance: string
  region: string
  dataHall: string
  /** Address for clients, as host:port. */
  clientAddress: string
  /** Address for other instances, as host:port. */
  peerAddress: string
  /** Peer addresses of some other instances, for discovery. */
  seeds: readonly string[]
  limits: EntryLimits
  /** CPU cores available to the instance. */
  cores: number
  /** Whether the whole system starts for the first time and has no known instances. */
  isFirstStart: boolean
  /** How long clients may cache the address list, in milliseconds. */
  directoryLifetimeMs: number
  /** Interval at which backend servers renew their entries in the store, in milliseconds. */
  serverHeartbeatMs: number
  bounds: EntryBounds
}
