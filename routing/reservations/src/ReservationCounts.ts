import { DenialReasons, type DenialReason, type ReservationAnswer } from './ReservationRequest.js'

/** Numbers of reservations that this instance asked for since it started, by their answers. */
export class ReservationCounts {
  granted = 0
  /** No owner answered in time or could be asked. */
  unanswered = 0
  readonly denied: Record<DenialReason, number> = {
    [DenialReasons.FULL]: 0,
    [DenialReasons.READING]: 0,
    [DenialReasons.RESERVED]: 0,
    [DenialReasons.SHARE]: 0,
  }

  add (answer: ReservationAnswer | undefined): void {
    if (!answer) this.unanswered++
    else if (answer.granted) this.granted++
    else this.denied[answer.reason]++
  }
}
