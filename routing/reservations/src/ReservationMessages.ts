import { defineChannel } from '@pulleystack/membership.peers'
import type { ServerIncarnation } from '@pulleystack/routing.fleet'
import type { PaceSample } from '@pulleystack/routing.pace'
import type { InstanceReport } from './InstanceReport.js'
import { packReservation, unpackReservation, type PackedReservation } from './packReservation.js'
import type { ReservationAnswer } from './ReservationRequest.js'

/** An instance's requests at one server, as sent to the owner of the server's ledger. */
export interface ReportMessage {
  server: ServerIncarnation
  service: string
  run: number
  sequence: number
  live: readonly PackedReservation[]
  isLeaving?: boolean
}

/** Asks for the reservation with this id, which the report lists as pending. */
export interface ReserveMessage {
  id: string
  report: ReportMessage
}

/** A change of one of an instance's reservations, with what it showed about the pace of the server. */
export interface ServerUpdate {
  server: ServerIncarnation
  /** Undefined if the instance no longer had the reservation, because its deadline has passed. */
  report?: ReportMessage
  sample?: PaceSample
}

/** Answers null if the owner doesn't know the service, or the reservation has been given up since. */
export const RESERVE = defineChannel<ReserveMessage, ReservationAnswer | null>('reservations.reserve')
/** The server has processed a prompt, or a former owner has decided on a request that this one was told of. */
export const READ = defineChannel<ServerUpdate>('reservations.read', { isOneShot: true })
/** A slot of a brittle server was released after the receiver was denied one. */
export const ROOM = defineChannel<{ server: ServerIncarnation }>('reservations.room', { isOneShot: true })
/** The sender has no request for the room that it was told of. */
export const ROOM_UNUSED = defineChannel<{ server: ServerIncarnation }>('reservations.room-unused', { isOneShot: true })
export const RELEASE = defineChannel<ServerUpdate>('reservations.release', { isOneShot: true })

export function packReport (server: ServerIncarnation, service: string, report: InstanceReport, now: number): ReportMessage {
  return { server, service, ...report, live: report.live.map((it) => packReservation(it, now)) }
}

export function unpackReport ({ run, sequence, live, isLeaving }: ReportMessage, now: number): InstanceReport {
  return { run, sequence, live: live.map((it) => unpackReservation(it, now)), isLeaving }
}
