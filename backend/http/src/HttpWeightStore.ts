import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { WeightStore, type WeightStoreLimits } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { exchange, parseJson } from './exchange.js'
import { Paths } from './wire.js'

const TIMEOUT_MS = 3_000

/** Client for the weight store over HTTP. */
export class HttpWeightStore extends WeightStore {
  constructor (private readonly opts: { address: string }) {
    super()
  }

  async readLimits (): Promise<Result<WeightStoreLimits, PulleystackError>> {
    try {
      const answer = await exchange({ address: this.opts.address, method: 'GET', path: Paths.WEIGHT_LIMITS, timeoutMs: TIMEOUT_MS })
      return ok(parseJson<WeightStoreLimits>(answer.body))
    } catch (thrown) {
      return err(new PulleystackError('STORE_UNAVAILABLE', convertToError(thrown).message, { cause: thrown }))
    }
  }
}
