import type { RandomSource } from '@pulleystack/core.clock'
import { Picker, type Pickable } from './Picker.js'

/** Picks a server uniformly at random. */
export class RandomPicker extends Picker {
  constructor (private readonly random: RandomSource) {
    super()
  }

  pick<T extends Pickable> (candidates: readonly T[]): T {
    return this.random.pickOne(candidates)
  }
}

/** Picks servers in turn. */
export class RoundRobinPicker extends Picker {
  private nextIndex = 0

  pick<T extends Pickable> (candidates: readonly T[]): T {
    return candidates[this.nextIndex++ % candidates.length] as T
  }
}

/** Picks the lowest estimated load. With delayed reports, instances tend to pick the same server. */
export class LeastLoadPicker extends Picker {
  pick<T extends Pickable> (candidates: readonly T[]): T {
    return candidates.reduce((best, it) => it.estimateLoad() < best.estimateLoad() ? it : best)
  }
}
