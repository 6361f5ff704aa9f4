import { parseDecimal } from './parseDecimal.js'

/** All HTTP date formats begin with the name of a day. Date.parse alone accepts much more. */
const HTTP_DATE = /^[A-Z][a-z]{2,8},? .*\d:\d{2}:\d{2}/

/**
 * Parses a Retry-After header (RFC 9110, 10.2.3) into milliseconds; undefined if it is invalid. Beyond the RFC, seconds may have a fraction.
 * A date is relative to the response's own Date header, because the clocks of two machines differ.
 */
export function parseRetryAfter (value: string, answerDate: string | undefined): number | undefined {
  const seconds = parseDecimal(value)
  if (seconds !== undefined) return seconds * 1_000
  const text = value.trim()
  if (!HTTP_DATE.test(text) || answerDate === undefined) return undefined
  const ms = Date.parse(text) - Date.parse(answerDate)
  return Number.isNaN(ms) ? undefined : Math.max(0, ms)
}
