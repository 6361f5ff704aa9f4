import bunyan from 'bunyan'

export type Logger = bunyan
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'

const SILENT = bunyan.FATAL + 1

/** Creates the root logger. It writes lines of JSON to standard error, because standard output is for the results of commands. */
export function createLogger (opts: { name: string, level: LogLevel }): Logger {
  const level = opts.level === 'silent' ? SILENT : opts.level
  return bunyan.createLogger({ name: opts.name, level, stream: process.stderr, serializers: bunyan.stdSerializers })
}
