/** The status that a backend server reports about itself in a response to any request, report or order. */
export interface ServerStatus {
  /** Id of the server; undefined if the response doesn't contain it. */
  serverId: string | undefined
  /** The server is draining and accepts no new requests. */
  leaving: boolean
  /** Milliseconds for which this instance should send it no requests; undefined if it did not request a pause. */
  retryAfterMs: number | undefined
  /** Whether the response contains a request limit, valid or not. */
  hasLimit: boolean
  /** Requests per second that the server accepts from all instances together; undefined if the response contains no valid limit. */
  limitPerSecond: number | undefined
  /** Requests that a brittle server may reject in a second without falling over; undefined if it doesn't report validly that it is brittle. */
  brittleTolerance?: number | undefined
  /** A status header that could not be parsed, truncated; undefined if all were valid. */
  invalidHeader: string | undefined
}
