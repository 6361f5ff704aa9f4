import type { Clock } from '@pulleystack/core.clock'
import { Paths } from '@pulleystack/backend.http'
import type { WeightStoreLimits } from '@pulleystack/backend.interfaces'
import { answerJson, listenLoopback, type LoopbackServer } from './listenLoopback.js'

/** Simulates how fast engines can load weights under the weight store's limits. */
export class WeightGate {
  loads = 0
  private activeLoads = 0
  private nextStart = 0

  constructor (private readonly opts: { clock: Clock, limits: WeightStoreLimits }) {}

  get limits (): WeightStoreLimits {
    return this.opts.limits
  }

  /** Resolves when the bytes have been loaded. */
  async load (bytes: number): Promise<void> {
    const { clock, limits } = this.opts
    const now = clock.readTime()
    const start = Math.max(now, this.nextStart)
    this.nextStart = start + 1000 / limits.loadsPerSecond
    this.loads++
    await clock.wait(start - now)
    this.activeLoads++
    // Above `loadsAtOnce`, concurrent loads share the bandwidth of the store.
    const slowdown = Math.max(1, this.activeLoads / limits.loadsAtOnce)
    await clock.wait(bytes / limits.bytesPerSecond * 1000 * slowdown)
    this.activeLoads--
  }
}

export function serveWeightStore (gate: WeightGate, port = 0): Promise<LoopbackServer> {
  return listenLoopback((request, response) => {
    if (request.url === Paths.WEIGHT_LIMITS) answerJson(response, 200, gate.limits)
    else answerJson(response, 404, {})
  }, port)
}
