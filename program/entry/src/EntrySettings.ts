import type { RateBounds } from '@pulleystack/routing.limits'

/** Bounds that every entry instance keeps. */
export interface EntryBounds {
  /** Further attempts for each request and beside those, in one window, over all instances. */
  retryRatio: number
  retryExtra: number
  retryWindowMs: number
  /** How far all instances together may go over the quotas of teams; undefined where no quotas are kept. */
  quota: RateBounds | undefined
  /** Milliseconds from a change of the configuration until it has to be in force on every instance. */
  configLagMs: number
  /** Life of the placement lease. */
  leaseMs: number
  /** Window in which loads from the weight store are counted, and how far they may go over the rate. */
  loadWindowMs: number
  loadOver: number
  /** Time between the request to stop and the end of the process. */
  graceMs: number
}

/** What one entry instance is told at its start. */
export interface EntrySettings {
  instance: string
  region: string
  dataHall: string
  /** host:port where clients connect. */
  clientAddress: string
  /** host:port where other instances connect. */
  peerAddress: string
  /** Peer addresses of some instances. */
  seeds: readonly string[]
  /** Processor cores that the instance may use. */
  cores: number
  /** The whole system starts for the first time, so that nobody is known yet. */
  isFirstStart: boolean
  /** Milliseconds for which clients may keep the list of addresses. */
  directoryLifetimeMs: number
  bounds: EntryBounds
}
