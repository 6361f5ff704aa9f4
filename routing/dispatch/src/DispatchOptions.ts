import type { ServiceClass } from '@pulleystack/config.objects'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { EventRing } from '@pulleystack/timeline.events'
import type { ServiceRetryBudgets } from './ServiceRetryBudgets.js'
import type { SlotAllocator } from './SlotAllocator.js'

/** Options common to all dispatchers. */
export interface DispatchOptions {
  clock: Clock
  random: RandomSource
  ring: EventRing
  slots: SlotAllocator
  budgets: ServiceRetryBudgets
  createId: () => string
}

/** Parameters common to all requests. */
export interface DispatchRequest {
  request: string
  partner: string
  service: string
  serviceClass: ServiceClass
  /** Monotonic time in milliseconds. */
  deadline: number
  /** Whether the request may run more than once. */
  repeatable: boolean
  /** Aborted when the caller disconnects. */
  signal: AbortSignal
}
