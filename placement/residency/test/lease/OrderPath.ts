import { WeightsClient, type OrderAnswer, type WeightsOrder, type WeightsState, type WeightsTarget } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { err, type Result } from 'neverthrow'
import type { RecordingServers } from '../RecordingServers.js'
import { Events, type ProcessGate } from './ProcessGate.js'

const TRANSIT_MS = 3
/** Time after which a process gives up an order, which may still arrive. */
const ANSWER_TIMEOUT_MS = 350
/** Longest time from handing an order to a connection until it reaches its server, if it does. */
export const MAX_ORDER_AGE_MS = 12_000

/** What happens to the orders that are sent during a fault. */
export interface OrderFault {
  /** Monotonic time at which it ends. */
  until: number
  /** Milliseconds until an order reaches its server; infinite if it is lost. */
  arrivalMs: number
  isAnswerLost: boolean
}

export interface OrderPathOptions {
  clock: Clock
  gate: ProcessGate
  servers: RecordingServers
}

/** The path of one simulated process to the servers. What it has written is delivered even after the process is killed. */
export class OrderPath extends WeightsClient {
  fault: OrderFault | undefined
  isCut = false
  /** Monotonic time at which the last late order arrives. */
  busyUntil = -Infinity
  private held: { sentAt: number, deliver: () => void }[] = []

  constructor (private readonly path: OrderPathOptions) {
    super()
  }

  get stateById (): RecordingServers['stateById'] {
    return this.path.servers.stateById
  }

  /** Delivers what the cut held up. */
  heal (): void {
    this.isCut = false
    this.fault = undefined
    const now = this.path.clock.readTime()
    for (const { sentAt, deliver } of this.held.splice(0)) if (now - sentAt < MAX_ORDER_AGE_MS) deliver()
  }

  override readState (target: WeightsTarget): Promise<Result<WeightsState, PulleystackError>> {
    return this.ask((answer) => {
      if (!this.isCut) this.path.clock.setTimer(TRANSIT_MS, () => void this.path.servers.readState(target).then(answer))
    })
  }

  override sendOrder (target: WeightsTarget, order: WeightsOrder): Promise<Result<OrderAnswer, PulleystackError>> {
    const { clock, servers } = this.path
    const now = clock.readTime()
    const fault = this.fault && now < this.fault.until ? this.fault : undefined
    const isAnswerLost = this.isCut || fault?.isAnswerLost
    return this.ask((answer) => {
      const deliver = (): void => void servers.sendOrder(target, order).then((result) => {
        if (!isAnswerLost) answer(result)
      })
      if (this.isCut) this.held.push({ sentAt: now, deliver })
      else if (fault) this.deliverLate(fault.arrivalMs, deliver)
      else clock.setTimer(TRANSIT_MS, deliver)
    })
  }

  private deliverLate (ms: number, deliver: () => void): void {
    if (!isFinite(ms)) return
    const { clock } = this.path
    this.busyUntil = Math.max(this.busyUntil, clock.readTime() + ms)
    clock.setTimer(ms, deliver)
  }

  private ask<T> (begin: (answer: (result: Result<T, PulleystackError>) => void) => void): Promise<Result<T, PulleystackError>> {
    const { clock, gate } = this.path
    return new Promise((resolve) => {
      const cancel = clock.setTimer(ANSWER_TIMEOUT_MS, () => gate.pass(Events.TIMER, () => resolve(err(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'No response')))))
      begin((result) => clock.setTimer(TRANSIT_MS, () => gate.pass(Events.ARRIVAL, () => {
        cancel()
        resolve(result)
      })))
    })
  }
}
