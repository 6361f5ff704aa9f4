export { readBody, parseJsonBody } from './readBody.js'
export { sendError, sendJson, Headers } from './answers.js'
export { parseBearer, parsePositiveHeader, parseRepeatable } from './headers.js'
