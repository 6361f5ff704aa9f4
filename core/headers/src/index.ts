export { formatInvalidHeader } from './formatInvalidHeader.js'
export { filterEndToEndHeaders } from './filterEndToEndHeaders.js'
export { parseDecimal } from './parseDecimal.js'
export { parseRetryAfter } from './parseRetryAfter.js'
