export { readBody, parseJsonBody } from './readBody.js'
export { cutResponse, sendError, sendJson, HeaderNames } from './responses.js'
export { parseBearerToken, parsePositiveIntegerHeader, parseYesNoHeader } from './headers.js'
