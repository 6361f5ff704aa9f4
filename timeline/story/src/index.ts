export { buildRequestTrace, readLogLines, renderRequestTrace } from './buildRequestTrace.js'
export type { LogLine, RequestTrace, TraceLine } from './buildRequestTrace.js'
