/** What a backend server says of itself beside its answer, to whichever request, report or order. */
export interface ServerStatus {
  /** Id of the server that says it; undefined where it doesn't name itself. */
  serverId: string | undefined
  /** It leaves and takes no new requests. */
  leaving: boolean
  /** Milliseconds for which it wants nothing more from this instance; undefined when it did not ask for that. */
  retryAfterMs: number | undefined
  /** Whether the answer names a limit of requests, readable or not. */
  namesLimit: boolean
  /** Requests a second that it takes from all instances together; undefined when the answer names no limit that can be read. */
  limitPerSecond: number | undefined
  /** A value that says something of the server and can't be read, shortened; undefined when all could be. */
  unreadable: string | undefined
}
