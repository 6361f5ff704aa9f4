/** Whether the work of a request ran. `no` is said only when nothing of the order could have been acted on. */
export const Ran = { NO: 'no', UNKNOWN: 'unknown', YES: 'yes' } as const
export type Ran = typeof Ran[keyof typeof Ran]

/** One row of the table in docs/result-codes.md. */
export interface ResultCode {
  /** Stable number, shown to callers and operators. */
  readonly number: number
  /** HTTP status with which callers see it. */
  readonly status: number
  /** What the caller may assume about its work. */
  readonly ran: Ran
  /** One sentence for the table. */
  readonly meaning: string
}

function buildCode (number: number, status: number, ran: Ran, meaning: string): ResultCode {
  return { number, status, ran, meaning }
}

/**
 * Every result code of the program. 1xxx: the caller's request; 2xxx: access; 3xxx: running the request;
 * 4xxx: configuration; 5xxx: the platform; 6xxx: settings and command line; 7xxx: placement.
 */
export const ResultCodes = {
  BAD_BODY: buildCode(1001, 400, Ran.NO, 'The body is not valid JSON or misses a field.'),
  BODY_TOO_LARGE: buildCode(1002, 413, Ran.NO, 'The body is larger than the instance takes.'),
  BAD_HEADER: buildCode(1003, 400, Ran.NO, 'A header of the request has a value that cannot be used.'),
  NOT_FOUND: buildCode(1004, 404, Ran.NO, 'The path names nothing here.'),
  MODEL_UNKNOWN: buildCode(1005, 404, Ran.NO, 'No such model or adapter is open to this caller.'),
  SERVICE_UNKNOWN: buildCode(1006, 404, Ran.NO, 'No such service is open to this caller.'),
  METHOD_NOT_ALLOWED: buildCode(1007, 405, Ran.NO, 'The path does not take this method.'),
  BODY_TOO_SLOW: buildCode(1008, 408, Ran.NO, 'The request did not arrive in time.'),
  KEY_REUSED: buildCode(1009, 422, Ran.NO, 'The Idempotency-Key was used before with another request.'),
  KEY_MISSING: buildCode(1010, 400, Ran.NO, 'This service asks for an Idempotency-Key on calls that may not be repeated.'),
  ACCESS_KEY_WRONG: buildCode(2001, 401, Ran.NO, 'The access key is missing or not known.'),
  ACCESS_DENIED: buildCode(2002, 403, Ran.NO, 'The access key does not allow this.'),
  PEER_REFUSED: buildCode(2003, 401, Ran.NO, 'A peer could not prove that it belongs to the system.'),
  RATE_EXCEEDED: buildCode(3001, 429, Ran.NO, 'The caller or service is above its rate.'),
  OVERLOADED: buildCode(3002, 503, Ran.NO, 'There is more work than can be done before its deadlines.'),
  NO_RUNNER: buildCode(3003, 503, Ran.NO, 'No allowed backend server is ready for this request.'),
  DEADLINE_NOT_RUN: buildCode(3004, 504, Ran.NO, 'The deadline passed before the work was sent to a backend server.'),
  DEADLINE_UNKNOWN: buildCode(3005, 504, Ran.UNKNOWN, 'The deadline passed after the work was sent.'),
  ATTEMPT_FAILED_NOT_RUN: buildCode(3006, 502, Ran.NO, 'No backend server accepted the work.'),
  ATTEMPT_FAILED_UNKNOWN: buildCode(3007, 502, Ran.UNKNOWN, 'The backend server was lost after the work was sent.'),
  ANSWER_BROKEN: buildCode(3008, 502, Ran.YES, 'The answer broke off and could not be resumed.'),
  CALLER_GONE: buildCode(3009, 499, Ran.UNKNOWN, 'The caller went away before the answer was whole.'),
  CLAIM_UNAVAILABLE: buildCode(3010, 503, Ran.NO, 'The record that keeps a request from running twice cannot be written now.'),
  CLAIM_IN_PROGRESS: buildCode(3011, 409, Ran.UNKNOWN, 'A request with this Idempotency-Key is running.'),
  CLAIM_OUTCOME_UNKNOWN: buildCode(3012, 409, Ran.UNKNOWN, 'A request with this Idempotency-Key was started and its outcome is not known.'),
  CLAIM_OUTCOME_TOO_LARGE: buildCode(3013, 409, Ran.YES, 'A request with this Idempotency-Key ran; its answer was too large to keep.'),
  INSTANCE_STOPPING: buildCode(3014, 503, Ran.NO, 'This instance is stopping; use another address.'),
  BACKEND_REFUSED: buildCode(3015, 502, Ran.NO, 'The backend server refused the work.'),
  CONFIG_OUTDATED: buildCode(3016, 503, Ran.NO, 'This instance does not know the newest configuration yet.'),
  REQUEST_ENDS_SERVERS: buildCode(3017, 503, Ran.NO, 'Backend servers ended while they ran this very request; it is kept from the others.'),
  INTERNAL: buildCode(3099, 500, Ran.UNKNOWN, 'A fault of this program.'),
  OBJECT_INVALID: buildCode(4001, 400, Ran.NO, 'An object does not match its schema.'),
  REFERENCE_MISSING: buildCode(4002, 400, Ran.NO, 'An object refers to one that does not exist.'),
  NOT_OWNER: buildCode(4003, 403, Ran.NO, 'The object belongs to another partner.'),
  CAPACITY_EXCEEDED: buildCode(4004, 400, Ran.NO, 'The declared intent does not fit the capacity.'),
  VERSION_CONFLICT: buildCode(4005, 409, Ran.NO, 'The object was changed by somebody else meanwhile.'),
  OBJECT_UNKNOWN: buildCode(4006, 404, Ran.NO, 'No such object.'),
  OBJECT_IN_USE: buildCode(4007, 409, Ran.NO, 'Other objects still refer to this one.'),
  SELECTOR_INVALID: buildCode(4008, 400, Ran.NO, 'A selector cannot be read.'),
  STORE_UNAVAILABLE: buildCode(5001, 503, Ran.NO, 'The object API does not answer.'),
  STORE_OUTCOME_UNKNOWN: buildCode(5002, 503, Ran.UNKNOWN, 'The object API did not say whether a write took effect.'),
  STORE_CONFLICT: buildCode(5003, 409, Ran.NO, 'The object API holds another version than expected.'),
  STORE_COMPACTED: buildCode(5004, 410, Ran.NO, 'The object API no longer has the changes asked for.'),
  STORE_ANSWER_INVALID: buildCode(5005, 502, Ran.UNKNOWN, 'The platform sent an answer that cannot be read.'),
  VALUE_TOO_LARGE: buildCode(5006, 413, Ran.NO, 'A value is larger than the object API takes.'),
  STORE_RESTORED: buildCode(5007, 503, Ran.YES, 'The object API came back from an older copy, and the write may have replaced what was written there since.'),
  SETTING_INVALID: buildCode(6001, 400, Ran.NO, 'A setting has a value that is not allowed.'),
  SETTINGS_UNREADABLE: buildCode(6002, 400, Ran.NO, 'The settings file cannot be read.'),
  USAGE: buildCode(6003, 400, Ran.NO, 'The command line cannot be understood.'),
  INSTANCE_UNREACHABLE: buildCode(6004, 503, Ran.UNKNOWN, 'No entry instance answered the command.'),
  CERTIFICATE_INVALID: buildCode(6005, 400, Ran.NO, 'A certificate and its key cannot be loaded.'),
  LEASE_LOST: buildCode(7001, 409, Ran.NO, 'The lease of a placement shard ended or went to another instance.'),
  MEMORY_EXCEEDED: buildCode(7002, 409, Ran.NO, 'The reservation does not fit the accelerator.'),
  ORDER_REFUSED: buildCode(7003, 409, Ran.NO, 'The engine refused an order.'),
} as const satisfies Record<string, ResultCode>

export type ResultCodeName = keyof typeof ResultCodes
