import { ConcurrencyLimiter } from './ConcurrencyLimiter.js'

/** A constant limit that ignores all samples. */
export class FixedLimiter extends ConcurrencyLimiter {
  constructor (readonly limit: number) {
    super()
  }

  addSample (): void {}
}
