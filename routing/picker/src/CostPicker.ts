import type { RandomSource } from '@pulleystack/core.clock'
import { computeRank } from '@pulleystack/core.hashing'
import { Picker, type Pickable, type PickRequest } from './Picker.js'

const RANDOM_CHOICES = 2
const HASHED_CHOICES = 2
// Requests that share this many leading blocks hash to the same servers.
const HASHED_PREFIX_BLOCKS = 4

/**
 * Compares a few servers by estimated time to first token: two random ones, the two that the prompt prefix hashes to,
 * and the one with the longest cached prefix. Random choices avoid herding on delayed reports; hashing makes instances
 * agree on servers for a prefix before any cache event has arrived; the cost moves work elsewhere once those are busy.
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
    choices.push(...findByHash(candidates, String(blocks[Math.min(HASHED_PREFIX_BLOCKS, blocks.length) - 1])))
    const bestCached = findBestCached(candidates, blocks)
    if (bestCached) choices.push(bestCached)
    return choices
  }
}

/** Estimated milliseconds to the first token. */
export function estimateCost (server: Pickable, blocks: readonly number[]): number {
  const load = server.estimateLoad()
  const queued = Math.max(0, load + 1 - server.slots)
  const waitMs = queued / server.slots * server.serviceMs
  // Each request slows the batch slightly even when slots are free; this also separates lightly loaded servers.
  const batchSlowdownMs = load / server.slots * server.serviceMs * 0.1
  const prefillMs = (blocks.length - server.countMatching(blocks)) * server.prefillMsPerBlock
  return waitMs + batchSlowdownMs + prefillMs + server.networkMs
}

function findByHash<T extends Pickable> (candidates: readonly T[], key: string): T[] {
  const ranked = candidates.map((candidate) => ({ candidate, rank: computeRank(key, candidate.id) }))
  ranked.sort((a, b) => b.rank - a.rank)
  return ranked.slice(0, HASHED_CHOICES).map((it) => it.candidate)
}

function findBestCached<T extends Pickable> (candidates: readonly T[], blocks: readonly number[]): T | undefined {
  let best: T | undefined
  let bestCount = 0
  for (const candidate of candidates) {
    const count = candidate.countMatching(blocks)
    if (count > bestCount) {
      best = candidate
      bestCount = count
    }
  }
  return best
}
