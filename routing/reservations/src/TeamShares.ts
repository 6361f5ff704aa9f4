import type { Denial } from './Denial.js'
import { computeReleaseIntervalMs, type LedgerState } from './LedgerState.js'
import type { Reservation } from './Reservation.js'
import { DenialReasons } from './ReservationRequest.js'

/** Below this share of taken slots all teams find room. */
const BUSY_SHARE = 0.75
/** A team that was rejected within this time is taken to wait. */
const WAITING_MS = 500

interface Rejection {
  at: number
  priority: number
}

/** Divides one server among teams while requests of several teams compete for it. */
export class TeamShares {
  private readonly rejections = new Map<string, Rejection>()

  /** Records that a request was rejected by any rule, at a monotonic time in milliseconds. */
  recordRejection ({ team, priority }: Reservation, now: number): void {
    this.forget(now)
    if (team !== undefined) this.rejections.set(team, { at: now, priority })
  }

  /** Records that a request was granted, after which its team no longer waits. */
  recordGrant ({ team }: Reservation): void {
    if (team !== undefined) this.rejections.delete(team)
  }

  /** Rejects a request of a team above its equal share while another team waits with requests that are no less urgent. */
  judge (state: LedgerState, { team, priority, cacheTokens }: Reservation): Denial | undefined {
    const { load, capacity, running, now } = state
    if (team === undefined || load.running < capacity.batchSlots * BUSY_SHARE) return undefined
    this.forget(now)
    const held = sumTokensByTeam(running)
    const waiting = [...this.rejections].filter(([other, it]) => other !== team && it.priority <= priority)
    const teams = new Set([team, ...held.keys(), ...waiting.map(([other]) => other)])
    const total = [...held.values()].reduce((sum, tokens) => sum + tokens, cacheTokens)
    const share = total / teams.size
    const own = held.get(team) ?? 0
    if (own <= share || !waiting.some(([other]) => (held.get(other) ?? 0) <= share)) return undefined
    // The next releases serve the waiting teams.
    return { reason: DenialReasons.SHARE, retryAfterMs: (waiting.length + 1) * computeReleaseIntervalMs(state) }
  }

  private forget (now: number): void {
    for (const [team, { at }] of this.rejections) if (now - at >= WAITING_MS) this.rejections.delete(team)
  }
}

/** Tokens of prompt and expected output that each team holds. */
function sumTokensByTeam (running: readonly Reservation[]): Map<string, number> {
  const held = new Map<string, number>()
  for (const { team, cacheTokens } of running) {
    if (team !== undefined) held.set(team, (held.get(team) ?? 0) + cacheTokens)
  }
  return held
}
