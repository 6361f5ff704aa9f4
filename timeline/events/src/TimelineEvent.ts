/** Kinds of events; the prefix names the part of the program. */
export const EventKinds = {
  REQUEST_ACCEPTED: 'request.accepted',
  REQUEST_QUEUED: 'request.queued',
  REQUEST_RELAYED: 'request.relayed',
  REQUEST_FINISHED: 'request.finished',
  ATTEMPT_PICKED: 'attempt.picked',
  ATTEMPT_FIRST_BYTE: 'attempt.firstByte',
  ATTEMPT_FINISHED: 'attempt.finished',
  ATTEMPT_FAILED: 'attempt.failed',
  ATTEMPT_RESUMED: 'attempt.resumed',
  ATTEMPT_LATE: 'attempt.late',
  CLAIM_COMMITTED: 'claim.committed',
  CLAIM_REPEATED: 'claim.repeated',
  CLAIM_RELEASED: 'claim.released',
  CONFIG_APPLIED: 'config.applied',
  CONFIG_REFUSED: 'config.refused',
  MEMBER_JOINED: 'member.joined',
  MEMBER_SUSPECTED: 'member.suspected',
  MEMBER_LEAVING: 'member.leaving',
  RUNNER_EJECTED: 'runner.ejected',
  RUNNER_RETURNED: 'runner.returned',
  LEASE_TAKEN: 'lease.taken',
  LEASE_LOST: 'lease.lost',
  BYTES_RESERVED: 'ledger.reserved',
  BYTES_RELEASED: 'ledger.released',
  ORDER_SENT: 'order.sent',
  ORDER_FAILED: 'order.failed',
  MODEL_READY: 'model.ready',
  MODEL_GONE: 'model.gone',
  STOP_STARTED: 'stop.started',
  STOP_FINISHED: 'stop.finished',
} as const

export type EventKind = typeof EventKinds[keyof typeof EventKinds]

/** What an event is about; the time line can be filtered by each of these. */
export interface EventFields {
  request?: string
  attempt?: string
  order?: string
  object?: string
  partner?: string
  server?: string
  model?: string
  /** Version of the object, as the object API counts. */
  version?: number
  fence?: number
  /** Duration in milliseconds where the event ends something. */
  ms?: number
  note?: string
}

/** One event as kept by the instance where it happened. */
export interface TimelineEvent extends EventFields {
  /** Counts up from 1 within the instance's life. */
  seq: number
  /** Wall time in milliseconds by the instance's own clock. */
  at: number
  instance: string
  dataHall: string
  kind: EventKind
}
