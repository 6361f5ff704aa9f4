import { ok, type Result } from 'neverthrow'
import { OrderAnswers, WeightsClient, type OrderAnswer, type WeightsOrder, type WeightsState, type WeightsTarget } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'
import type { ManualClock } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'

/** Three of its four models fit into a server. */
export const SERVING: ModelServing = {
  batchSlots: 8,
  cacheTokens: 100_000,
  weightsMb: 200,
  adapterSlots: 2,
  loadsPerSecond: 10,
  models: ['a', 'b', 'c', 'd'].map((name) => ({ name, weightsMb: 60, adapterMb: 1, adapters: 4, loadSeconds: 0.1, diskSeconds: 0.1, memorySeconds: 0.1 })),
}

/** One order as it reached a server. */
export interface ArrivedOrder {
  at: number
  server: string
  holder: string
  fence: number
}

/** Servers that count their own memory, refuse nothing that a holder could get wrong, and note who ordered when. */
export class RecordingServers extends WeightsClient {
  readonly arrived: ArrivedOrder[] = []
  readonly held = new Map<string, { models: Set<string>, sequence: number }>()
  overcommitted = false

  constructor (private readonly clock: ManualClock) {
    super()
  }

  add (id: string, ...models: string[]): void {
    this.held.set(id, { models: new Set(models), sequence: 0 })
  }

  override async readState (target: WeightsTarget): Promise<Result<WeightsState, PulleystackError>> {
    const server = this.held.get(target.backendId)
    return ok({
      sequence: server?.sequence ?? 0,
      busy: false,
      models: [...server?.models ?? []].map((name) => ({ name, adapters: [] })),
      comingAdapters: [],
      inMemory: [],
      onDisk: [],
    })
  }

  override async sendOrder (target: WeightsTarget, order: WeightsOrder): Promise<Result<OrderAnswer, PulleystackError>> {
    this.arrived.push({ at: this.clock.readTime(), server: target.backendId, holder: order.holder, fence: order.fence })
    const server = this.held.get(target.backendId)
    if (!server || order.expectedSequence !== server.sequence) return ok(OrderAnswers.CONFLICT)
    server.sequence++
    if (order.action === 'load') server.models.add(order.model)
    else server.models.delete(order.model)
    if (server.models.size > 3) this.overcommitted = true
    return ok(OrderAnswers.TAKEN)
  }
}
