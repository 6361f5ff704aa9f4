import type { LogLine } from './buildRequestTrace.js'

/** Returns a field of a log line if it is a finite number. */
export function readNumber ({ fields }: LogLine, name: string): number | undefined {
  const value = fields[name]
  return typeof value === 'number' && Number.isFinite(value) ? value : undefined
}

/** Returns a field of a log line if it is a text. */
export function readText ({ fields }: LogLine, name: string): string | undefined {
  const value = fields[name]
  return typeof value === 'string' ? value : undefined
}
