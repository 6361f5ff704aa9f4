/** What one finished stream showed of its server. */
export interface PaceSample {
  /** Prompt tokens that the server had to process for this request. */
  readTokens: number
  /** Prompt tokens of other requests that were still unprocessed at the server when this one was sent. */
  aheadTokens: number
  /** Milliseconds from sending the request until the first event. */
  firstEventMs: number
  /** Events after the first one. */
  events: number
  /** Median milliseconds between two events; 0 without any. */
  eventMs: number
  /** Other requests in the batch when this one was sent. */
  running: number
  model: string
}

/** A server's pace as exchanged between instances. */
export type SharedPace = readonly [tokensPerMs: number, eventMs: number, samples: number, ageMs: number]
