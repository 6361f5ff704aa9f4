const BASE_MS = 20
const MAX_MS = 2_000

/** Delay in milliseconds before retry number `attempt` (from 1), with full jitter. */
export function computeBackoff (attempt: number, fraction: number): number {
  return fraction * Math.min(MAX_MS, BASE_MS * 2 ** attempt)
}
