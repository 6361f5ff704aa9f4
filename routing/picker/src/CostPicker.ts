import type { RandomSource } from '@pulleystack/core.clock'
import { computeRank } from '@pulleystack/core.hashing'
import { Picker, type Pickable, type PickRequest } from './Picker.js'

const RANDOM_CHOICES = 2
const HOMES = 2
// Requests that share this many leading blocks share their homes.
const HOME_BLOCKS = 4

/**
 * Looks at a few servers only: two random ones, the two that the prompt's beginning hashes to, and the one that is
 * known to have most of it cached; takes the one where the first token should come soonest. Random choice keeps
 * instances with the same late reports from all choosing alike; hashing makes them agree where a prefix lives
 * before any cache event has come; the cost sends work elsewhere once that server is busy.
 */
export class CostPicker extends Picker {
  constructor (private readonly random: RandomSource) {
    super()
  }

  pick<T extends Pickable> (candidates: readonly T[], request: PickRequest): T {
    const choices = this.listChoices(candidates, request.blocks)
    let best = choices[0] as T
    let bestCost = Infinity
    for (const choice of choices) {
      const cost = estimateCost(choice, request.blocks)
      if (cost < bestCost) {
        best = choice
        bestCost = cost
      }
    }
    return best
  }

  private listChoices<T extends Pickable> (candidates: readonly T[], blocks: readonly number[]): T[] {
    const choices: T[] = []
    for (let i = 0; i < RANDOM_CHOICES; i++) choices.push(this.random.pickOne(candidates))
    if (blocks.length === 0) return choices
    choices.push(...findHomes(candidates, String(blocks[Math.min(HOME_BLOCKS, blocks.length) - 1])))
    const cached = findCached(candidates, blocks)
    if (cached) choices.push(cached)
    return choices
  }
}

/** Milliseconds to the first token, as far as can be told. */
export function estimateCost (server: Pickable, blocks: readonly number[]): number {
  const load = server.estimateLoad()
  const ahead = Math.max(0, load + 1 - server.slots)
  const waitMs = ahead / server.slots * server.serviceMs
  // Even with free places each request slows the batch a little; without this term idle servers would look alike.
  const crowdingMs = load / server.slots * server.serviceMs * 0.1
  const prefillMs = (blocks.length - server.countMatching(blocks)) * server.prefillMsPerBlock
  return waitMs + crowdingMs + prefillMs + server.hopMs
}

function findHomes<T extends Pickable> (candidates: readonly T[], key: string): T[] {
  const ranked = candidates.map((candidate) => ({ candidate, rank: computeRank(key, candidate.id) }))
  ranked.sort((a, b) => b.rank - a.rank)
  return ranked.slice(0, HOMES).map((it) => it.candidate)
}

function findCached<T extends Pickable> (candidates: readonly T[], blocks: readonly number[]): T | undefined {
  let best: T | undefined
  let most = 0
  for (const candidate of candidates) {
    const count = candidate.countMatching(blocks)
    if (count > most) {
      best = candidate
      most = count
    }
  }
  return best
}
