import { Ran, ResultCodes, type ResultCode, type ResultCodeName } from './resultCodes.js'

/** Optional properties of an error. */
export interface PulleystackErrorOptions {
  /** What the user can do about it. */
  hint?: string
  /** The invalid field, header or setting. */
  field?: string
  /** Overrides the default of the result code if more is known. */
  ran?: Ran
  /** Seconds after which the caller may retry. */
  retryAfterSeconds?: number
  /** Additional information as plain JSON. */
  details?: unknown
  cause?: unknown
}

/** The JSON body of an error response. */
export interface ErrorBody {
  error: {
    code: number
    name: ResultCodeName
    message: string
    ran: Ran
    hint?: string
    field?: string
    details?: unknown
    request?: string
  }
}

/** The error class of the program. `code` is stable; the message is for people and may change. */
export class PulleystackError extends Error {
  readonly code: ResultCodeName
  readonly ran: Ran
  readonly hint: string | undefined
  readonly field: string | undefined
  readonly retryAfterSeconds: number | undefined
  readonly details: unknown

  constructor (code: ResultCodeName, message: string, opts: PulleystackErrorOptions = {}) {
    super(message, opts.cause === undefined ? undefined : { cause: opts.cause })
    this.name = 'PulleystackError'
    this.code = code
    this.ran = opts.ran ?? ResultCodes[code].ran
    this.hint = opts.hint
    this.field = opts.field
    this.retryAfterSeconds = opts.retryAfterSeconds
    this.details = opts.details
  }

  /** The entry of this error's code in `ResultCodes`. */
  get resultCode (): ResultCode {
    return ResultCodes[this.code]
  }

  /** Returns the body of an HTTP response for this error. */
  renderBody (requestId?: string): ErrorBody {
    const error: ErrorBody['error'] = { code: this.resultCode.number, name: this.code, message: this.message, ran: this.ran }
    if (this.hint !== undefined) error.hint = this.hint
    if (this.field !== undefined) error.field = this.field
    if (this.details !== undefined) error.details = this.details
    if (requestId !== undefined) error.request = requestId
    return { error }
  }
}

/** Converts any thrown value to a `PulleystackError`. Unexpected errors become INTERNAL. */
export function convertToError (thrown: unknown): PulleystackError {
  if (thrown instanceof PulleystackError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new PulleystackError('INTERNAL', `Unexpected fault: ${message}`, { cause: thrown })
}

/** Parses the body of an error response; undefined if it has no known result code. */
export function parseErrorBody (body: unknown): PulleystackError | undefined {
  const error = (body as Partial<ErrorBody> | undefined)?.error
  if (!error || !(error.name in ResultCodes)) return undefined
  return new PulleystackError(error.name, error.message, { ran: error.ran, hint: error.hint, field: error.field, details: error.details })
}
