import type { PaceSample } from '@pulleystack/routing.pace'
import type { LoadTally, ServerIncarnation } from '@pulleystack/routing.fleet'
import type { ReservationAnswer, ReservationRequest } from '@pulleystack/routing.reservations'

/** Room at a server that a slot holds with the owner of the server's ledger. */
export interface SlotReservation {
  /** Load from other requests when the reservation was granted; undefined if the owner didn't answer. */
  load: LoadTally | undefined
  /** Records that the server has processed the prompt, and at what pace. */
  recordRead: (sample: PaceSample | undefined) => void
  /** Frees the room, and tells the pace of the stream's events. */
  release: (sample: PaceSample | undefined) => void
}

/** Access to the owners of the ledgers. */
export interface ReservationClient {
  /** Resolves with undefined when the owner didn't answer in time. */
  reserve: (request: ReservationRequest) => Promise<ReservationAnswer | undefined>
  /** Whether an instance keeps the server's ledger. */
  hasOwner: (server: ServerIncarnation) => boolean
  recordRead: (server: ServerIncarnation, id: string, sample?: PaceSample) => void
  release: (server: ServerIncarnation, id: string, sample?: PaceSample) => void
}
