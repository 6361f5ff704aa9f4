/** Figures of the streams of one server, model or route. Times in milliseconds; figures without samples are omitted. */
export interface StreamFigures {
  /** Id of the server, or name of the model or route. */
  name: string
  /** Streams whose first event was received; by server without the resumed ones. */
  streams: number
  /** Streams that were resumed on another server; by server those that the server took over. */
  resumed: number
  /** Share of the streams with a pause over the allowed one; omitted if none was specified. */
  overPauseShare?: number
  /** From the arrival of the request to the first event. */
  firstMs50?: number
  firstMs90?: number
  /** From the last sending to the first event, without resumed streams. */
  sentFirstMs50?: number
  sentFirstMs90?: number
  /** Longest pause between two events of a stream. */
  longestPauseMs?: number
  /** Requests on the server when the streams were sent. */
  running50?: number
  running90?: number
  /** Prompt tokens queued for prefill on the server when the streams were sent. */
  prefillTokens50?: number
  prefillTokens90?: number
}

/** How a wait for a slot ended. */
export const WaitOutcomes = {
  /** The request was sent to a server. */
  SERVED: 'served',
  /** The request was rejected before it was sent. */
  REJECTED: 'rejected',
  /** The deadline passed before the request was sent. */
  EXPIRED: 'expired',
  CLIENT_GONE: 'client-gone',
  /** The log contains no end of the wait. */
  OPEN: 'open',
} as const
export type WaitOutcome = typeof WaitOutcomes[keyof typeof WaitOutcomes]

/** Waits that began for one reason and ended with one outcome; durations in milliseconds, omitted for open waits. */
export interface WaitFigures {
  reason: string
  outcome: WaitOutcome
  count: number
  ms50?: number
  ms90?: number
  ms99?: number
}

/** Requests that ended alike without success. */
export interface FailureFigures {
  status: number
  code: string
  /** Words that contain digits, such as ids and durations, are replaced by `#`; empty if none was logged. */
  reason: string
  count: number
  /** Milliseconds from the arrival of the request to the final response. */
  heldMs50?: number
  heldMs90?: number
  heldMsMax?: number
}

/** Planned loads from one source. */
export interface LoadFigures {
  /** `store`: the weight store; `server`: the server's own disk or host memory. */
  source: 'store' | 'server'
  loads: number
  /** Number of different models. */
  models: number
  /** Models unloaded for these loads. */
  victims: number
  /** Loads of models that had no copy. */
  withoutCopy: number
  /** Copies of the model before the load. */
  copies50?: number
  copies90?: number
  /** Requests in flight for the model when the load was planned. */
  inFlight50?: number
  inFlight90?: number
  requestsPerSecond50?: number
}

/** Orders to servers by action and answer; `open` if the log contains no answer. */
export interface OrderFigures {
  action: string
  answer: string
  count: number
}

/** What the decision logs of a period show. Each list is sorted by falling count, streams by falling share over the allowed pause. */
export interface LoadSummary {
  /** Log lines, including those of other kinds. */
  lines: number
  /** Lines that are not log lines. */
  skippedLines: number
  /** Requests that ended, and those of them that ended with success. A relayed request counts at the instance that served it. */
  requests: number
  succeeded: number
  /** Responses that an instance relayed from another one. */
  relayed: number
  /** Requests that waited or were sent, and whose end is not in the log. */
  unfinished: number
  streams: StreamFigures
  servers: readonly StreamFigures[]
  models: readonly StreamFigures[]
  routes: readonly StreamFigures[]
  waits: readonly WaitFigures[]
  failures: readonly FailureFigures[]
  loads: readonly LoadFigures[]
  orders: readonly OrderFigures[]
}
