import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'
import { Subject, type Observable } from 'rxjs'
import type { ServerStatus } from './ServerStatus.js'

/** The weights of a model server as it reports them, out of date by a fraction of a second. */
export interface WeightsState {
  /** Number of orders accepted since the server started. */
  sequence: number
  /** An order is in progress. */
  busy: boolean
  models: readonly { name: string, adapters: readonly string[] }[]
  /** Adapters that are being loaded, as `model/adapter`. */
  loadingAdapters: readonly string[]
  /** Models with a copy in host memory. */
  inMemory: readonly string[]
  /** Models with a copy on disk. */
  onDisk: readonly string[]
}

/** An order to load or unload a model or adapter on one server. */
export interface WeightsOrder {
  /** Names this copy of the order in logs, and is the id of the request that carries it. */
  id: string
  action: 'load' | 'unload'
  model: string
  adapter: string | undefined
  /** The server rejects the order if its sequence is another one. */
  expectedSequence: number
  holder: string
  fence: number
}

/** A server's response to an order. */
export const OrderAnswers = {
  /** The order was accepted. */
  TAKEN: 'taken',
  /** The requested state already exists. */
  HOLDS: 'holds',
  /** Another order is in progress, or the sequence differs. */
  CONFLICT: 'conflict',
  /** The order is unknown, the server is another one, or a newer holder has sent an order. */
  REJECTED: 'refused',
} as const
export type OrderAnswer = typeof OrderAnswers[keyof typeof OrderAnswers]

/** Address of one incarnation of a server. */
export interface WeightsTarget {
  address: string
  /** Only the server with this id may respond. */
  backendId: string
}

/** A status that a server reported in its response to a report or an order. */
export interface TargetStatus {
  target: WeightsTarget
  call: 'report' | 'order'
  status: ServerStatus
}

/** Reads and changes the weights of model servers. The `ran` of a `sendOrder` error tells whether the order may still be executed. */
export abstract class WeightsClient {
  /** Milliseconds after which an order without an answer is given up. */
  readonly orderTimeoutMs: number = 350
  private readonly subject = new Subject<TargetStatus>()

  /** Emits the statuses that servers report, in successful and failed responses alike. */
  get statuses (): Observable<TargetStatus> {
    return this.subject
  }

  protected emitStatus (stated: TargetStatus): void {
    this.subject.next(stated)
  }

  abstract readState (target: WeightsTarget): Promise<Result<WeightsState, PulleystackError>>
  /** `mayWrite` is asked right before the order is written to an established connection. */
  abstract sendOrder (target: WeightsTarget, order: WeightsOrder, mayWrite?: () => boolean): Promise<Result<OrderAnswer, PulleystackError>>
}
