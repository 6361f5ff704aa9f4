import { parseDecimal } from './parseDecimal.js'

/** The forms of an HTTP date begin with the name of a day; Date.parse alone would also read what is no date. */
const HTTP_DATE = /^[A-Z][a-z]{2,8},? .*\d:\d{2}:\d{2}/

/**
 * Milliseconds that a Retry-After header asks for (RFC 9110, 10.2.3); undefined when it can't be read. Seconds may have a fraction, beyond the RFC. A date
 * counts from the answer's own Date, since the clocks of two machines differ and one may have stepped.
 */
export function parseRetryAfter (value: string, answerDate: string | undefined): number | undefined {
  const seconds = parseDecimal(value)
  if (seconds !== undefined) return seconds * 1_000
  const text = value.trim()
  if (!HTTP_DATE.test(text) || answerDate === undefined) return undefined
  const ms = Date.parse(text) - Date.parse(answerDate)
  return Number.isNaN(ms) ? undefined : Math.max(0, ms)
}
