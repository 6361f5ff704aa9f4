export { readBody, parseJsonBody } from './readBody.js'
export { sendError, sendJson, Headers } from './responses.js'
export { parseBearer, parsePositiveHeader, parseRepeatable } from './headers.js'
