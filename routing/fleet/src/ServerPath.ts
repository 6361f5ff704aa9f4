import { Subject, type Observable } from 'rxjs'

/** Why connections to a server fail, as judged with the help of other instances. */
export const PathVerdicts = {
  /** The other instances have not answered. */
  PENDING: 'pending',
  /** Another instance reaches the server. */
  PATH_LOST: 'path-lost',
  /** No instance that reaches other servers reaches this one. */
  SERVER_DOWN: 'server-down',
  /** Nobody who answered reaches any server, so the fault may be on either side. */
  UNKNOWN: 'unknown',
} as const
export type PathVerdict = typeof PathVerdicts[keyof typeof PathVerdicts]

const INITIAL_BACKOFF_MS = 400
const MAX_BACKOFF_MS = 3_000
/** Reports of peers are ignored for this time after this instance reached the server. */
const RECENT_CONTACT_MS = 2_000
/** How long a report of a peer counts; it is repeated while it holds. */
const REPORT_MS = 500

/** The path from this instance to one backend server, as its own connections show it. Times are monotonic, in milliseconds. */
export class ServerPath {
  private failures = 0
  private backoffUntil = -Infinity
  private reachedAt = -Infinity
  private reportedDownUntil = -Infinity
  /** Undefined while connections succeed. */
  private currentVerdict: PathVerdict | undefined
  private judgedAt = -Infinity
  private readonly lost = new Subject<void>()

  /** Emits when the path is lost while the server may be up. */
  get losses (): Observable<void> {
    return this.lost
  }

  /** Whether a connection attempt is likely to succeed. A lost path is unusable until a probe succeeds. */
  isUsable (now: number): boolean {
    return !this.isLost && now >= this.backoffUntil
  }

  /** Whether the path has to be probed before it is used again. */
  get isLost (): boolean {
    return this.currentVerdict === PathVerdicts.PATH_LOST || this.currentVerdict === PathVerdicts.UNKNOWN
  }

  get verdict (): PathVerdict | undefined {
    return this.currentVerdict
  }

  /** Whether another instance may reach the server. */
  get mayPeersReach (): boolean {
    return this.currentVerdict !== undefined && this.currentVerdict !== PathVerdicts.SERVER_DOWN
  }

  /** Whether the server itself is unreachable as far as this instance knows, and not only its path to it. */
  isServerDown (now: number): boolean {
    return this.currentVerdict === PathVerdicts.SERVER_DOWN && !this.isUsable(now)
  }

  /** Backs off after a failed connection attempt, exponentially. Returns the backoff in milliseconds, or undefined while the path is unusable already. */
  recordFailure (now: number): number | undefined {
    if (!this.isUsable(now)) return undefined
    const backoffMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** this.failures)
    this.backoffUntil = now + backoffMs
    this.failures++
    this.currentVerdict = PathVerdicts.PENDING
    return backoffMs
  }

  /** Records the verdict on the latest failure, unless the server was reached since. */
  recordVerdict (verdict: PathVerdict, now: number): void {
    if (this.currentVerdict === undefined) return
    const wasLost = this.isLost
    this.currentVerdict = verdict
    this.judgedAt = now
    if (this.isLost && !wasLost) this.lost.next()
  }

  /** Milliseconds since the latest verdict. */
  readVerdictAgeMs (now: number): number {
    return now - this.judgedAt
  }

  recordReached (now: number): void {
    this.failures = 0
    this.backoffUntil = -Infinity
    this.currentVerdict = undefined
    this.reachedAt = now
  }

  /** Whether the server responded after a monotonic time in milliseconds. */
  hasBeenReachedSince (at: number): boolean {
    return this.reachedAt > at
  }

  /** Records that a peer reports the server to be down. Returns whether this counts and is new. */
  recordPeerReport (now: number): boolean {
    if (now - this.reachedAt <= RECENT_CONTACT_MS) return false
    const isNew = !this.isReportedDown(now)
    this.reportedDownUntil = now + REPORT_MS
    return isNew
  }

  /** Whether a peer reported the server to be down; only a reason to prefer others, since the peer may be wrong. */
  isReportedDown (now: number): boolean {
    return now < this.reportedDownUntil && now - this.reachedAt > RECENT_CONTACT_MS
  }
}
