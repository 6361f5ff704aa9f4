import type { Backend, BackendChoice } from '@pulleystack/routing.fleet'
import type { RoutedWork } from './RoutedWork.js'

/** What changed about a place. */
export const PlaceChanges = {
  TAKEN: 'taken',
  /** The server has read the prompt. */
  READ: 'read',
  ENDED: 'ended',
} as const
export type PlaceChange = typeof PlaceChanges[keyof typeof PlaceChanges]

/** The right to have one request at one backend server; must be ended. */
export class BackendPlace {
  private prefilling: number
  private ended = false
  private hasBegun = false

  constructor (readonly choice: BackendChoice, private readonly work: RoutedWork, private readonly onChange: (change: PlaceChange) => void) {
    this.prefilling = Math.max(0, (work.generation?.promptTokens ?? 0) - choice.keptTokens)
    const { own } = choice.backend
    own.running++
    own.prefillTokens += this.prefilling
    own.cacheTokens += this.cacheTokens
    onChange(PlaceChanges.TAKEN)
  }

  get backend (): Backend {
    return this.choice.backend
  }

  /** The server has read the prompt. */
  notePrefilled (): void {
    this.hasBegun = true
    this.releasePrefill()
  }

  /** The server began to answer, so that the place was held for as long as the answer took. */
  get wasServed (): boolean {
    return this.hasBegun
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
    this.onChange(PlaceChanges.ENDED)
  }

  private get cacheTokens (): number {
    const { generation } = this.work
    return generation ? generation.promptTokens + generation.outputTokens : 0
  }
}
