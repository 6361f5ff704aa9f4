import type { RandomSource } from '@pulleystack/core.clock'
import { Picker, type Pickable } from './Picker.js'

/** Baseline: any server. */
export class RandomPicker extends Picker {
  constructor (private readonly random: RandomSource) {
    super()
  }

  pick<T extends Pickable> (candidates: readonly T[]): T {
    return this.random.pickOne(candidates)
  }
}

/** Baseline: one after the other. */
export class RoundRobinPicker extends Picker {
  private next = 0

  pick<T extends Pickable> (candidates: readonly T[]): T {
    return candidates[this.next++ % candidates.length] as T
  }
}

/** Baseline: the least load by what is known; herds when reports lag. */
export class LeastReportedPicker extends Picker {
  pick<T extends Pickable> (candidates: readonly T[]): T {
    return candidates.reduce((best, it) => it.estimateLoad() < best.estimateLoad() ? it : best)
  }
}
