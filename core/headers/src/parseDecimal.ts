/** Digits with an optional fraction; no sign and no exponent. */
const DECIMAL = /^\d+(\.\d+)?$/

/** Parses a header value as a non-negative decimal number; undefined if it is anything else. Numbers beyond the range of a double become Infinity. */
export function parseDecimal (value: string): number | undefined {
  const text = value.trim()
  return DECIMAL.test(text) ? Number(text) : undefined
}
