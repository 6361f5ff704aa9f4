import type { Clock } from '@pulleystack/core.clock'
import type { Backend, BackendChoice, CreditUse } from '@pulleystack/routing.fleet'
import type { ServedTimes } from './SlotForecast.js'
import type { RoutedWork } from './RoutedWork.js'

/** What changed about a place. */
export const PlaceChanges = {
  TAKEN: 'taken',
  /** A server that is taken up again after a rest may have more. */
  CREDITED: 'credited',
  /** The server has read the prompt. */
  READ: 'read',
  ENDED: 'ended',
  /** It ended, and the right to send that the server's limit asked for was not used. */
  UNSENT: 'unsent',
} as const
export type PlaceChange = typeof PlaceChanges[keyof typeof PlaceChanges]

/** The right to have one request at one backend server; must be ended. */
export class BackendPlace {
  private readonly takenAt: number
  private prefilling: number
  private ended = false
  private readonly credit: CreditUse
  private begunAt: number | undefined
  private readonly suspects: number
  /** A right to send to the server is used up once the request may have reached it. */
  private hasPermit: boolean

  constructor (
    readonly choice: BackendChoice,
    private readonly work: RoutedWork,
    private readonly clock: Clock,
    private readonly onChange: (change: PlaceChange) => void,
  ) {
    this.takenAt = clock.readTime()
    this.suspects = work.isSuspect ? 1 : 0
    this.prefilling = Math.max(0, (work.generation?.promptTokens ?? 0) - choice.keptTokens)
    const { own } = choice.backend
    own.running++
    own.prefillTokens += this.prefilling
    own.cacheTokens += this.cacheTokens
    own.suspects += this.suspects
    const { backoff, limit, permits } = choice.backend.stated
    this.credit = backoff.take()
    this.hasPermit = limit.perSecond !== undefined && permits.take(this.takenAt)
    onChange(PlaceChanges.TAKEN)
  }

  get backend (): Backend {
    return this.choice.backend
  }

  /** The request is on its way. */
  noteSent (): void {
    this.hasPermit = false
  }

  /** The server took the request; after a rest more may be sent there by that. */
  noteAnswered (): void {
    if (this.credit.noteAnswered()) this.onChange(PlaceChanges.CREDITED)
  }

  /** The server has read the prompt. */
  notePrefilled (): void {
    this.begunAt ??= this.clock.readTime()
    this.releasePrefill()
  }

  /** How long it was held, and until the answer began, in milliseconds; undefined while no answer has begun. */
  readTimes (): ServedTimes | undefined {
    if (this.begunAt === undefined) return undefined
    return { heldMs: this.clock.readTime() - this.takenAt, firstMs: this.begunAt - this.takenAt }
  }

  private releasePrefill (): void {
    if (this.prefilling === 0) return
    this.backend.own.prefillTokens -= this.prefilling
    this.prefilling = 0
    this.onChange(PlaceChanges.READ)
  }

  end (): void {
    if (this.ended) return
    this.ended = true
    this.releasePrefill()
    this.backend.own.running--
    this.backend.own.cacheTokens -= this.cacheTokens
    this.backend.own.suspects -= this.suspects
    this.credit.end()
    if (this.hasPermit) this.onChange(PlaceChanges.UNSENT)
    this.onChange(PlaceChanges.ENDED)
  }

  private get cacheTokens (): number {
    const { generation } = this.work
    return generation ? generation.promptTokens + generation.outputTokens : 0
  }
}
