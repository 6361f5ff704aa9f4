import { hashText } from '@pulleystack/core.hashing'

/** An instance that could serve clients. */
export interface ServingCandidate {
  instance: string
  dataHall: string
  /** Processor cores that it may use. */
  capacity: number
}

/** Up to so many instances all of them serve. */
export const SMALL_SYSTEM = 12
/**
 * Those that serve tell each other what they do, so that messages grow with the square of their number. With so many times the root of all instances they
 * grow as the system does: 16 of 63, 28 of 195, 38 of 350. At 195 with 40 that served, messages made most of 0.8 GB between data halls on one day.
 */
const SERVING_PER_ROOT = 2
/** How many of all instances serve clients. */
export function countServing (total: number): number {
  return total <= SMALL_SYSTEM ? total : Math.max(SMALL_SYSTEM, Math.ceil(SERVING_PER_ROOT * Math.sqrt(total)))
}

/** The order in which instances are to serve: data halls by turns, in each the most capable first; the same for all that know the same. */
export function rankServing<T extends ServingCandidate> (candidates: Iterable<T>): T[] {
  const halls = new Map<string, Array<HashedCandidate<T>>>()
  for (const candidate of candidates) {
    const hashed = { candidate, hash: hashText(candidate.instance) }
    const hall = halls.get(candidate.dataHall)
    if (hall) hall.push(hashed)
    else halls.set(candidate.dataHall, [hashed])
  }
  const turns = [...halls.values()].flatMap((hall) => hall.sort(compareInHall).map((hashed, turn) => ({ hashed, turn })))
  return turns.sort((a, b) => a.turn - b.turn || compareInHall(a.hashed, b.hashed)).map((it) => it.hashed.candidate)
}

/** A candidate with the hash of its name, which sorting compares many times. */
interface HashedCandidate<T extends ServingCandidate> {
  candidate: T
  hash: number
}

function compareInHall (a: HashedCandidate<ServingCandidate>, b: HashedCandidate<ServingCandidate>): number {
  return b.candidate.capacity - a.candidate.capacity || a.hash - b.hash || (a.candidate.instance < b.candidate.instance ? -1 : 1)
}
