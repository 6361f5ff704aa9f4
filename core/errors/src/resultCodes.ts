/** Whether a request was executed. `no` guarantees that no part of it was, `yes` means at least in part. */
export const Ran = { NO: 'no', UNKNOWN: 'unknown', YES: 'yes' } as const
export type Ran = typeof Ran[keyof typeof Ran]

/** A result code, as documented in docs/result-codes.md. */
export interface ResultCode {
  /** Stable number, shown to callers and operators. */
  readonly number: number
  /** HTTP status of the response. */
  readonly status: number
  /** Whether the request was executed, unless the error says otherwise. */
  readonly ran: Ran
  /** Description in one sentence. */
  readonly meaning: string
}

function buildCode (number: number, status: number, ran: Ran, meaning: string): ResultCode {
  return { number, status, ran, meaning }
}

/**
 * All result codes. 1xxx: the caller's request; 2xxx: access; 3xxx: execution of the request;
 * 4xxx: configuration; 5xxx: the platform; 6xxx: settings and command line; 7xxx: placement.
 */
export const ResultCodes = {
  BAD_BODY: buildCode(1001, 400, Ran.NO, 'The body is not valid JSON or lacks a required field.'),
  BODY_TOO_LARGE: buildCode(1002, 413, Ran.NO, 'The body exceeds the size limit of the instance.'),
  BAD_HEADER: buildCode(1003, 400, Ran.NO, 'A request header has an invalid value.'),
  NOT_FOUND: buildCode(1004, 404, Ran.NO, 'The path does not exist.'),
  MODEL_UNKNOWN: buildCode(1005, 404, Ran.NO, 'The model or adapter does not exist or is not available to this caller.'),
  SERVICE_UNKNOWN: buildCode(1006, 404, Ran.NO, 'The service does not exist or is not available to this caller.'),
  METHOD_NOT_ALLOWED: buildCode(1007, 405, Ran.NO, 'The path does not support this method.'),
  BODY_TOO_SLOW: buildCode(1008, 408, Ran.NO, 'The request did not arrive in time.'),
  KEY_REUSED: buildCode(1009, 422, Ran.NO, 'The Idempotency-Key was already used for a different request.'),
  KEY_MISSING: buildCode(1010, 400, Ran.NO, 'This service requires an Idempotency-Key for calls that must not be repeated.'),
  ACCESS_KEY_WRONG: buildCode(2001, 401, Ran.NO, 'The access key is missing or invalid.'),
  ACCESS_DENIED: buildCode(2002, 403, Ran.NO, 'The access key does not allow this.'),
  PEER_REFUSED: buildCode(2003, 401, Ran.NO, 'A peer could not prove that it belongs to the system.'),
  RATE_EXCEEDED: buildCode(3001, 429, Ran.NO, 'The caller or service exceeds its rate limit.'),
  OVERLOADED: buildCode(3002, 503, Ran.NO, 'There is more work than can be finished before its deadlines.'),
  NO_RUNNER: buildCode(3003, 503, Ran.NO, 'No allowed backend server is ready for this request.'),
  DEADLINE_NOT_RUN: buildCode(3004, 504, Ran.NO, 'The deadline passed before the request was sent to a backend server.'),
  DEADLINE_UNKNOWN: buildCode(3005, 504, Ran.UNKNOWN, 'The deadline passed after the request was sent to a backend server.'),
  ATTEMPT_FAILED_NOT_RUN: buildCode(3006, 502, Ran.NO, 'No backend server accepted the request.'),
  ATTEMPT_FAILED_UNKNOWN: buildCode(3007, 502, Ran.UNKNOWN, 'The connection to the backend server was lost after the request was sent.'),
  ANSWER_BROKEN: buildCode(3008, 502, Ran.YES, 'The response was interrupted and could not be resumed.'),
  CALLER_GONE: buildCode(3009, 499, Ran.UNKNOWN, 'The caller disconnected before the response was complete.'),
  CLAIM_UNAVAILABLE: buildCode(3010, 503, Ran.NO, 'The record that prevents a request from running twice cannot be written at the moment.'),
  CLAIM_IN_PROGRESS: buildCode(3011, 409, Ran.UNKNOWN, 'A request with this Idempotency-Key is still running.'),
  CLAIM_OUTCOME_UNKNOWN: buildCode(3012, 409, Ran.UNKNOWN, 'A request with this Idempotency-Key was started, but its outcome is unknown.'),
  CLAIM_OUTCOME_TOO_LARGE: buildCode(3013, 409, Ran.YES, 'A request with this Idempotency-Key ran, but its response was too large to store.'),
  INSTANCE_STOPPING: buildCode(3014, 503, Ran.NO, 'This instance is shutting down; use another address.'),
  BACKEND_REFUSED: buildCode(3015, 502, Ran.NO, 'The backend server rejected the request.'),
  CONFIG_OUTDATED: buildCode(3016, 503, Ran.NO, 'This instance does not have the latest configuration yet.'),
  REQUEST_ENDS_SERVERS: buildCode(3017, 503, Ran.NO, 'Backend servers crashed while running this request, so it is not sent to any others.'),
  PATH_LOST: buildCode(3018, 503, Ran.NO, 'This instance cannot reach the backend servers that could run the request; other instances may.'),
  INTERNAL: buildCode(3099, 500, Ran.UNKNOWN, 'An internal error of this program.'),
  OBJECT_INVALID: buildCode(4001, 400, Ran.NO, 'An object does not match its schema.'),
  REFERENCE_MISSING: buildCode(4002, 400, Ran.NO, 'An object refers to another object that does not exist.'),
  NOT_OWNER: buildCode(4003, 403, Ran.NO, 'The object belongs to another partner.'),
  CAPACITY_EXCEEDED: buildCode(4004, 400, Ran.NO, 'The declared intent exceeds the capacity.'),
  VERSION_CONFLICT: buildCode(4005, 409, Ran.NO, 'The object was changed concurrently.'),
  OBJECT_UNKNOWN: buildCode(4006, 404, Ran.NO, 'The object does not exist.'),
  OBJECT_IN_USE: buildCode(4007, 409, Ran.NO, 'Other objects still refer to this object.'),
  SELECTOR_INVALID: buildCode(4008, 400, Ran.NO, 'A selector is not valid.'),
  STORE_UNAVAILABLE: buildCode(5001, 503, Ran.NO, 'The object API does not respond.'),
  STORE_OUTCOME_UNKNOWN: buildCode(5002, 503, Ran.UNKNOWN, 'The object API did not report whether a write took effect.'),
  STORE_CONFLICT: buildCode(5003, 409, Ran.NO, 'The object has a different version in the object API than expected.'),
  STORE_COMPACTED: buildCode(5004, 410, Ran.NO, 'The object API no longer has the requested changes.'),
  STORE_ANSWER_INVALID: buildCode(5005, 502, Ran.UNKNOWN, 'The platform sent an invalid response.'),
  VALUE_TOO_LARGE: buildCode(5006, 413, Ran.NO, 'A value exceeds the size limit of the object API.'),
  STORE_RESTORED: buildCode(5007, 503, Ran.YES, 'The object API was restored from an older snapshot, and the write may have replaced data written since then.'),
  SETTING_INVALID: buildCode(6001, 400, Ran.NO, 'A setting has an invalid value.'),
  SETTINGS_UNREADABLE: buildCode(6002, 400, Ran.NO, 'The settings file cannot be read.'),
  USAGE: buildCode(6003, 400, Ran.NO, 'The command line is not valid.'),
  INSTANCE_UNREACHABLE: buildCode(6004, 503, Ran.UNKNOWN, 'No entry instance responded to the command.'),
  CERTIFICATE_INVALID: buildCode(6005, 400, Ran.NO, 'A certificate or its key cannot be loaded.'),
  LEASE_LOST: buildCode(7001, 409, Ran.NO, 'The lease of a placement shard expired or was taken over by another instance.'),
  MEMORY_EXCEEDED: buildCode(7002, 409, Ran.NO, 'The reservation does not fit into the memory of the accelerator.'),
  ORDER_REFUSED: buildCode(7003, 409, Ran.NO, 'The engine rejected an order.'),
} as const satisfies Record<string, ResultCode>

export type ResultCodeName = keyof typeof ResultCodes
