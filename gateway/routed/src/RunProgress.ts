import type { PulleystackError } from '@pulleystack/core.errors'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import type { RetryPermit } from '@pulleystack/routing.retries'
import type { BackendSlot } from './BackendSlot.js'
import type { StreamProgress } from './relayStream.js'

/** Progress of one request over its attempts. */
export interface RunProgress {
  /** Attempts sent to servers by this instance. */
  sends: number
  /** Attempts that may have run. */
  runs: number
  stream: StreamProgress
  /** Latest error response of a server, relayed if no other attempt succeeds. */
  serverFailure: { response: ExchangeResponse, body: Buffer } | undefined
  /** Error of the last attempt. */
  error: PulleystackError | undefined
  /** Reserved from the retry budget for the next attempt; undefined when that is free. */
  retryPermit: RetryPermit | undefined
  /** Held for the next attempt, which takes over from a silent server. */
  nextSlot: BackendSlot | undefined
  /** Whether an attempt failed because this instance has lost its path to the server. */
  hasLostPath: boolean
}

export function createProgress (stream: StreamProgress): RunProgress {
  return { sends: 0, runs: 0, stream, serverFailure: undefined, error: undefined, retryPermit: undefined, nextSlot: undefined, hasLostPath: false }
}
