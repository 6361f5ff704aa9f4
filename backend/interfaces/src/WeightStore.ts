import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** Limits of the weight store, shared by all loads. */
export interface WeightStoreLimits {
  loadsPerSecond: number
  loadsAtOnce: number
  bytesPerSecond: number
}

/** The store from which engines load weights. The system reads only its limits. */
export abstract class WeightStore {
  abstract readLimits (): Promise<Result<WeightStoreLimits, PulleystackError>>
}
