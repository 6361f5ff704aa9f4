import { hashText } from '@pulleystack/core.hashing'

/** An instance that may be selected to serve clients. */
export interface ServingCandidate {
  instance: string
  dataHall: string
  /** Processor cores available to the instance. */
  capacity: number
}

/** In systems of up to this many instances, all of them serve. */
export const SMALL_SYSTEM_INSTANCES = 12
/**
 * Serving instances exchange messages pairwise, so a count proportional to the square root of all instances makes the traffic grow
 * linearly: 16 of 63 serve, 28 of 195, 38 of 350. With 40 of 195, these messages made most of 0.8 GB between data halls in one day.
 */
const SERVING_PER_SQRT = 2
/** Returns how many of `total` instances should serve clients. */
export function computeServingCount (total: number): number {
  return total <= SMALL_SYSTEM_INSTANCES ? total : Math.max(SMALL_SYSTEM_INSTANCES, Math.ceil(SERVING_PER_SQRT * Math.sqrt(total)))
}

/** Ranks instances for serving: round-robin across data halls, highest capacity first within each. Deterministic for a given set of candidates. */
export function rankServing<T extends ServingCandidate> (candidates: Iterable<T>): T[] {
  const halls = new Map<string, Array<HashedCandidate<T>>>()
  for (const candidate of candidates) {
    const hashed = { candidate, hash: hashText(candidate.instance) }
    const hall = halls.get(candidate.dataHall)
    if (hall) hall.push(hashed)
    else halls.set(candidate.dataHall, [hashed])
  }
  const positioned = [...halls.values()].flatMap((hall) => hall.sort(compareInHall).map((hashed, position) => ({ hashed, position })))
  return positioned.sort((a, b) => a.position - b.position || compareInHall(a.hashed, b.hashed)).map((it) => it.hashed.candidate)
}

/** A candidate with the cached hash of its name. */
interface HashedCandidate<T extends ServingCandidate> {
  candidate: T
  hash: number
}

function compareInHall (a: HashedCandidate<ServingCandidate>, b: HashedCandidate<ServingCandidate>): number {
  return b.candidate.capacity - a.candidate.capacity || a.hash - b.hash || (a.candidate.instance < b.candidate.instance ? -1 : 1)
}
