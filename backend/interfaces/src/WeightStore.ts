import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** Limits of the weight store that loads must share. */
export interface WeightStoreLimits {
  loadsPerSecond: number
  loadsAtOnce: number
  bytesPerSecond: number
}

/** Where engines take weights from; the system only needs to know what it stands. */
export abstract class WeightStore {
  abstract readLimits (): Promise<Result<WeightStoreLimits, PulleystackError>>
}
