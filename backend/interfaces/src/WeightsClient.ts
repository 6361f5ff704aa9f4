import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'
import { Subject, type Observable } from 'rxjs'
import type { ServerStatus } from './ServerStatement.js'

/** What a model server says of its weights; it lags by a fraction of a second. */
export interface WeightsState {
  /** Orders taken since the server's start; an order may ask that it is still the same. */
  sequence: number
  /** An order is under way. */
  busy: boolean
  models: readonly { name: string, adapters: readonly string[] }[]
  /** Adapters on their way, as model/adapter. */
  comingAdapters: readonly string[]
  /** Models of which copies lie in host memory or on disk. */
  inMemory: readonly string[]
  onDisk: readonly string[]
}

/** An order to change what one server holds. */
export interface WeightsOrder {
  action: 'load' | 'unload'
  model: string
  adapter: string | undefined
  /** The server refuses the order when it has taken others since. */
  expectedSequence: number
  holder: string
  fence: number
}

/** What became of an order that was answered. */
export const OrderAnswers = {
  /** It is being done. */
  TAKEN: 'taken',
  /** What it asks for is so already. */
  HOLDS: 'holds',
  /** Another is under way, or the sequence differs. */
  CONFLICT: 'conflict',
  /** The server knows no such order, is another one, or a newer holder ordered. */
  REFUSED: 'refused',
} as const
export type OrderAnswer = typeof OrderAnswers[keyof typeof OrderAnswers]

/** Address of one start of one server. */
export interface WeightsTarget {
  address: string
  /** Only this one may answer. */
  backendId: string
}

/** What a server said of itself in the answer to a report or an order. */
export interface TargetStatus {
  target: WeightsTarget
  call: 'report' | 'order'
  status: ServerStatus
}

/** Reads and changes what model servers hold. An error of `sendOrder` says by `ran` whether the order may still be carried out. */
export abstract class WeightsClient {
  private readonly subject = new Subject<TargetStatus>()

  /** What servers say of themselves in their answers, whatever the answers are. */
  get statuses (): Observable<TargetStatus> {
    return this.subject
  }

  protected emitStatus (stated: TargetStatus): void {
    this.subject.next(stated)
  }

  abstract readState (target: WeightsTarget): Promise<Result<WeightsState, PulleystackError>>
  abstract sendOrder (target: WeightsTarget, order: WeightsOrder): Promise<Result<OrderAnswer, PulleystackError>>
}
