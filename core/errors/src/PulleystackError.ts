import { Ran, ResultCodes, type ResultCode, type ResultCodeName } from './resultCodes.js'

/** What may accompany an error besides its message. */
export interface PulleystackErrorOptions {
  /** What the reader can do about it. */
  hint?: string
  /** The field, header or setting at fault. */
  field?: string
  /** Overrides the code's own statement where more is known. */
  ran?: Ran
  /** Seconds after which asking again makes sense. */
  retryAfterSeconds?: number
  /** Further facts for the reader, plain JSON. */
  details?: unknown
  cause?: unknown
}

/** The body with which an error goes to callers and operators. */
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

/** The one error class of the program; `code` is stable, the message is for people. */
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

  /** The row of the table. */
  get row (): ResultCode {
    return ResultCodes[this.code]
  }

  /** Renders the error for an HTTP answer. */
  renderBody (requestId?: string): ErrorBody {
    const error: ErrorBody['error'] = { code: this.row.number, name: this.code, message: this.message, ran: this.ran }
    if (this.hint !== undefined) error.hint = this.hint
    if (this.field !== undefined) error.field = this.field
    if (this.details !== undefined) error.details = this.details
    if (requestId !== undefined) error.request = requestId
    return { error }
  }
}

/** Turns anything thrown into the one error class; what was not expected becomes INTERNAL. */
export function convertToError (thrown: unknown): PulleystackError {
  if (thrown instanceof PulleystackError) return thrown
  const message = thrown instanceof Error ? thrown.message : String(thrown)
  return new PulleystackError('INTERNAL', `Unexpected fault: ${message}`, { cause: thrown })
}

/** Reads an error back from the body of an answer, for clients of the program. */
export function parseErrorBody (body: unknown): PulleystackError | undefined {
  const error = (body as Partial<ErrorBody> | undefined)?.error
  if (!error || !(error.name in ResultCodes)) return undefined
  return new PulleystackError(error.name, error.message, { ran: error.ran, hint: error.hint, field: error.field, details: error.details })
}
