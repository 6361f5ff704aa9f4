import type { Reservation } from './Reservation.js'

/** A reservation as sent between instances; the time left replaces the expiry time, as clocks differ. */
export type PackedReservation = readonly [
  id: string,
  isPending: 0 | 1,
  readTokens: number,
  cacheTokens: number,
  outputTokens: number,
  priority: number,
  isDeferrable: 0 | 1,
  leftMs: number,
  longestPauseMs: number | null,
  team?: string,
]

export function packReservation (reservation: Reservation, now: number): PackedReservation {
  const { id, isPending, readTokens, cacheTokens, outputTokens, priority, isDeferrable, team, longestPauseMs, expiresAt } = reservation
  const leftMs = Math.round(expiresAt - now)
  const packed = [id, isPending ? 1 : 0, readTokens, cacheTokens, outputTokens, priority, isDeferrable ? 1 : 0, leftMs, longestPauseMs ?? null] as const
  return team === undefined ? packed : [...packed, team]
}

export function unpackReservation (packed: PackedReservation, now: number): Reservation {
  const [id, isPending, readTokens, cacheTokens, outputTokens, priority, isDeferrable, leftMs, longestPauseMs, team] = packed
  return {
    id,
    isPending: isPending === 1,
    readTokens,
    cacheTokens,
    outputTokens,
    priority,
    isDeferrable: isDeferrable === 1,
    team,
    longestPauseMs: longestPauseMs ?? undefined,
    expiresAt: now + leftMs,
  }
}
