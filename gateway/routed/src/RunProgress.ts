import type { PulleystackError } from '@pulleystack/core.errors'
import type { ExchangeResponse } from '@pulleystack/routing.forward'
import type { RetryPermit } from '@pulleystack/routing.retries'
import type { Takeover } from './SilenceWatch.js'
import type { StreamProgress } from './relayStream.js'

/** An attempt to run a request, by a server or through another instance. */
export interface Attempt {
  /** Sends the request unless that was done, and relays the response; resolves with the error if that was not relayed completely. */
  relay: () => Promise<PulleystackError | undefined>
  /** Ends the attempt without relaying its response. */
  cancel: () => void
}

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
  /** An attempt that is being made beside a silent server. */
  takeover: Takeover | undefined
  /** The next attempt, which has begun beside the one that it takes over from. */
  successor: Attempt | undefined
  /** Whether an attempt failed because this instance has lost its path to the server. */
  hasLostPath: boolean
}

export function createProgress (stream: StreamProgress): RunProgress {
  return {
    sends: 0,
    runs: 0,
    stream,
    serverFailure: undefined,
    error: undefined,
    retryPermit: undefined,
    takeover: undefined,
    successor: undefined,
    hasLostPath: false,
  }
}
