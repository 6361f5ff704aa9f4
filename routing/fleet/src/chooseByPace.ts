import type { RandomSource } from '@pulleystack/core.clock'
import { computePrefillLimit, type PaceEstimate, type PaceTable } from '@pulleystack/routing.pace'
import type { LoadTally } from './LoadTally.js'

/** Pace estimates by server. */
export type ServerPaces = Pick<PaceTable, 'read'>

/** A server that could take a request, rated with its pace. */
export interface PacedServer {
  load: LoadTally
  pace?: PaceEstimate
  costMs: number
  /** Relative frequency with which it is chosen among servers of nearly equal cost. */
  weight?: number
}

/**
 * Expected first events that differ by less than the longest pause that the route allows are nearly equal: a later first event is then no worse than the
 * pauses that follow. This value in milliseconds is for routes without such a limit.
 */
const NEARLY_EQUAL_MS = 100
/** Weight of a server without any free room, so that every eligible server may be chosen. */
const MIN_ROOM = 0.05
/** A prompt is at most this share shorter by what the server has in its cache when weights are computed. */
const MIN_UNCACHED_SHARE = 0.125

/** Returns the prompt tokens that may be unprocessed at a server for a request: by the server's pace, unless the caller ignores the limit. */
export function computePacedLimit (demand: { prefillLimit: number, longestPauseMs?: number }, pace: PaceEstimate | undefined): number {
  if (!pace || demand.longestPauseMs === undefined || demand.prefillLimit === Infinity) return demand.prefillLimit
  return computePrefillLimit(pace, demand.longestPauseMs)
}

/**
 * Weighs a server by its pace and free room, so that all prefill for the same share of the time. Uncached tokens count squared: a cached prefix saves
 * work for all later requests too.
 */
export function computePickWeight (opts: {
  pace: PaceEstimate
  load: LoadTally
  batchSlots: number
  prefillLimit: number
  promptTokens: number
  uncachedTokens: number
}): number {
  const { pace, load, batchSlots, prefillLimit, promptTokens, uncachedTokens } = opts
  const prefillRoom = Math.max(MIN_ROOM, 1 - load.prefillTokens / prefillLimit)
  const batchRoom = Math.max(MIN_ROOM, 1 - load.running / batchSlots)
  const uncachedShare = Math.max(MIN_UNCACHED_SHARE, uncachedTokens / Math.max(1, promptTokens))
  return pace.tokensPerMs * prefillRoom * batchRoom / uncachedShare ** 2
}

/**
 * Chooses among servers whose expected first events are nearly equal at random: loads are 100 to 500 ms old, and instances that all chose the best server
 * would send it their requests at once. A server in a slow spell gets a single request to probe it, or more when there is no other server.
 */
export function chooseByPace<T extends PacedServer> (servers: readonly T[], opts: { longestPauseMs: number | undefined, random: RandomSource }): T | undefined {
  const preferred = servers.filter((it) => !it.pace?.isSlowNow || (it.load.running === 0 && it.load.prefillTokens === 0))
  const candidates = preferred.length > 0 ? preferred : servers
  const marginMs = opts.longestPauseMs ?? NEARLY_EQUAL_MS
  const lowestMs = Math.min(...candidates.map(({ costMs }) => costMs))
  return chooseByWeight(candidates.filter(({ costMs }) => costMs <= lowestMs + marginMs), opts.random)
}

function chooseByWeight<T extends PacedServer> (servers: readonly T[], random: RandomSource): T | undefined {
  let remaining = random.readFraction() * servers.reduce((sum, { weight = 0 }) => sum + weight, 0)
  return servers.find(({ weight = 0 }) => (remaining -= weight) < 0) ?? servers.at(-1)
}
