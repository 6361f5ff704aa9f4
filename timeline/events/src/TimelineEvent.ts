/** Kinds of events; the prefix names the component. */
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

/** Optional fields of an event. */
export interface EventFields {
  request?: string
  attempt?: string
  order?: string
  object?: string
  partner?: string
  server?: string
  model?: string
  /** Version of the object in the object API. */
  version?: number
  fence?: number
  /** Duration in milliseconds, for events that end an operation. */
  ms?: number
  note?: string
}

/** An event as recorded by the instance where it happened. */
export interface TimelineEvent extends EventFields {
  /** Sequence number, counted from 1 in each run of the process. */
  seq: number
  /** Wall-clock time of the instance, in milliseconds since 1970. */
  at: number
  instance: string
  dataHall: string
  kind: EventKind
}
