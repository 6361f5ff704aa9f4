import { ConcurrencyLimiter } from './ConcurrencyLimiter.js'

/** A limit that stays; the baseline that the adaptive one is measured against. */
export class FixedLimiter extends ConcurrencyLimiter {
  constructor (readonly limit: number) {
    super()
  }

  addSample (): void {}
}
