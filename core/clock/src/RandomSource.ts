import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

const FRACTION_STEPS = 0x1000000

/** Source of random numbers; a fixed seed makes a run repeatable. */
export class RandomSource {
  private readonly generator: RandomGenerator

  constructor (seed: number = Math.floor(Math.random() * 0x7fffffff)) {
    this.generator = xoroshiro128plus(seed)
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readFraction (): number {
    return uniformInt(this.generator, 0, FRACTION_STEPS - 1) / FRACTION_STEPS
  }

  /** Returns an integer from 0 (inclusive) to `bound` (exclusive). */
  readBelow (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }

  /** Returns a random element. The list must not be empty. */
  pickOne<T> (list: readonly T[]): T {
    return list[this.readBelow(list.length)] as T
  }
}
