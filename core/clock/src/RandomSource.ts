import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator'

const PRECISION = 0x1000000

/** Source of random numbers, injected so that a run can be repeated. */
export class RandomSource {
  private readonly generator: RandomGenerator

  /** The same seed gives the same numbers. */
  constructor (seed: number = Math.floor(Math.random() * 0x7fffffff)) {
    this.generator = xoroshiro128plus(seed)
  }

  /** A number from 0 up to, but without, 1. */
  readFraction (): number {
    return uniformInt(this.generator, 0, PRECISION - 1) / PRECISION
  }

  /** A whole number from 0 up to, but without, `bound`. */
  readBelow (bound: number): number {
    return uniformInt(this.generator, 0, bound - 1)
  }

  /** One element of a list that is not empty. */
  pickOne<T> (list: readonly T[]): T {
    return list[this.readBelow(list.length)] as T
  }
}
