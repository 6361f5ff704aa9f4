import { formatIncarnation, type ServerIncarnation } from '@pulleystack/routing.fleet'
import { EMPTY_REPORT_MS, type InstanceReport } from './InstanceReport.js'
import type { Reservation } from './Reservation.js'
import type { ReservationRequest } from './ReservationRequest.js'

/** Time to the latency target from which a request can wait for others: several requests end at a busy server meanwhile. */
const MIN_DEFERRABLE_MS = 2_000

/** A report counts for `EMPTY_REPORT_MS` from when it arrives, which is up to a second after it was sent. */
const FORGET_MS = EMPTY_REPORT_MS + 1_000

interface OwnReservation extends Reservation {
  /** The owner that decides on it, unless none was asked. */
  askedOwner?: string
}

/** The requests of this instance at one server. */
export interface OwnServer {
  server: ServerIncarnation
  service: string
  /** The instance to which they were last reported. */
  owner: string | undefined
  /** Monotonic time in milliseconds. */
  reportedAt: number
  live: Map<string, OwnReservation>
}

/** The reservations of this instance, and its requests that run without one because no owner answered. Times are monotonic and in milliseconds. */
export class OwnReservations {
  private readonly servers = new Map<string, OwnServer>()
  private sequence = 0

  /** `run` is the Unix time in milliseconds at which this process started. */
  constructor (private readonly run: number) {}

  /** Adds a request whose reservation is pending. */
  add (request: ReservationRequest, now: number): OwnServer {
    const key = formatIncarnation(request.server)
    const known = this.servers.get(key) ?? createOwnServer(request, now)
    this.servers.set(key, known)
    known.live.set(request.id, createReservation(request, now))
    return known
  }

  find (server: ServerIncarnation): OwnServer | undefined {
    return this.servers.get(formatIncarnation(server))
  }

  /** Lists all requests at a server, for the owner of its ledger. One on which a former owner decides may run already. */
  buildReport (ownServer: OwnServer, now: number): InstanceReport {
    ownServer.reportedAt = now
    const live = [...ownServer.live.values()].map((it) => ({ ...it, isPending: it.isPending && it.askedOwner === ownServer.owner }))
    return { run: this.run, sequence: ++this.sequence, live }
  }

  /** Tells a former owner that it is no longer reported to. */
  buildLeavingReport (): InstanceReport {
    return { run: this.run, sequence: ++this.sequence, live: [], isLeaving: true }
  }

  /** Removes requests whose deadline has passed, and servers without any once the last report no longer counts: its owner is told when another takes over. */
  expire (now: number): void {
    for (const [key, { live, reportedAt }] of this.servers) {
      for (const [id, { expiresAt }] of live) if (expiresAt <= now) live.delete(id)
      if (live.size === 0 && now - reportedAt > FORGET_MS) this.servers.delete(key)
    }
  }

  countLive (): number {
    return [...this.servers.values()].reduce((sum, { live }) => sum + live.size, 0)
  }
}

function createOwnServer ({ server: { id, startedAt }, service }: ReservationRequest, now: number): OwnServer {
  return { server: { id, startedAt }, service, owner: undefined, reportedAt: now, live: new Map() }
}

function createReservation (request: ReservationRequest, now: number): Reservation {
  const { id, readTokens, cacheTokens, promptTokens = readTokens, priority, team, longestPauseMs, leftMs, dueMs } = request
  const outputTokens = Math.max(0, cacheTokens - promptTokens)
  const isDeferrable = dueMs >= MIN_DEFERRABLE_MS
  return { id, isPending: true, readTokens, cacheTokens, outputTokens, priority, isDeferrable, team, longestPauseMs, expiresAt: now + leftMs }
}
