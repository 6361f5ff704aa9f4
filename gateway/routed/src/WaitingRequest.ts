import type { PulleystackError } from '@pulleystack/core.errors'
import type { Candidate } from '@pulleystack/routing.admission'
import type { ChoiceFailure } from '@pulleystack/routing.fleet'
import type { BackendSlot } from './BackendSlot.js'
import type { RoutedWork } from './RoutedWork.js'
import type { WeightsWait } from './WeightsWait.js'

/** A request in the queue. */
export interface WaitingRequest {
  work: RoutedWork
  candidate: Candidate
  resolve: (slot: BackendSlot) => void
  reject: (error: PulleystackError) => void
  weights: WeightsWait
  lastFailure: ChoiceFailure
  isLimitLogged: boolean
}

/** Observes whether servers are left for a stream that has to go on at one software version. */
export interface VersionWatch {
  /** Aborts with NO_RUNNER once none is left. */
  lost: AbortSignal
  end: () => void
}
