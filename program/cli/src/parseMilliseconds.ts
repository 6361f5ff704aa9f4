import { PulleystackError } from '@pulleystack/core.errors'

/** Checks the value of an option such as `--pause`, in milliseconds; undefined if it is missing. Throws USAGE if it is not a positive number. */
export function parseMilliseconds (value: unknown, option: string): number | undefined {
  if (value === undefined) return undefined
  if (typeof value === 'number' && value > 0) return value
  throw new PulleystackError('USAGE', `"${String(value)}" is not a positive number of milliseconds`, { field: option })
}
