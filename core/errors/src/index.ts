export { PulleystackError, convertToError, parseErrorBody } from './PulleystackError.js'
export type { ErrorBody, PulleystackErrorOptions } from './PulleystackError.js'
export { Ran, ResultCodes } from './resultCodes.js'
export type { ResultCode, ResultCodeName } from './resultCodes.js'
