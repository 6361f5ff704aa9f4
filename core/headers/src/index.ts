export { listEndToEnd } from './listEndToEnd.js'
export { parseRetryAfter } from './parseRetryAfter.js'
