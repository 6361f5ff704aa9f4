export { describeUnreadable } from './describeUnreadable.js'
export { listEndToEnd } from './listEndToEnd.js'
export { parseDecimal } from './parseDecimal.js'
export { parseRetryAfter } from './parseRetryAfter.js'
