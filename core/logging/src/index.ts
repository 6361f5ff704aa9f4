export { createLogger } from './createLogger.js'
export type { Logger, LogLevel } from './createLogger.js'
