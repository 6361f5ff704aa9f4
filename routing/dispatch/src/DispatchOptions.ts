import type { ServiceClass } from '@pulleystack/config.objects'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { EventRing } from '@pulleystack/timeline.events'
import type { Budgets } from './Budgets.js'
import type { Places } from './Places.js'

/** What dispatchers share. */
export interface DispatchOptions {
  clock: Clock
  random: RandomSource
  ring: EventRing
  places: Places
  budgets: Budgets
  createId: () => string
}

/** What is the same in all requests. */
export interface RequestWork {
  request: string
  partner: string
  service: string
  serviceClass: ServiceClass
  /** Monotone time. */
  deadline: number
  /** Whether it may run more than once. */
  repeatable: boolean
  /** Ends when the caller goes away. */
  signal: AbortSignal
}
