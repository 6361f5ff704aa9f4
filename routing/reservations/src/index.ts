export { DenialReasons } from './ReservationRequest.js'
export type { DenialReason, ReservationAnswer, ReservationRequest } from './ReservationRequest.js'
