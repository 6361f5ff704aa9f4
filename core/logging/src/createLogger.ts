import bunyan from 'bunyan'

export type Logger = bunyan
export type LogLevel = 'trace' | 'debug' | 'info' | 'warn' | 'error' | 'silent'

const SILENT = bunyan.FATAL + 1

/** Creates the root logger: JSON lines on standard error, so that standard output stays free for answers. */
export function createLogger (opts: { name: string, level: LogLevel }): Logger {
  const level = opts.level === 'silent' ? SILENT : opts.level
  return bunyan.createLogger({ name: opts.name, level, stream: process.stderr, serializers: bunyan.stdSerializers })
}
