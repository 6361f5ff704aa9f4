/** Digits with a fraction or without; no sign and no exponent. */
const DECIMAL = /^\d+(\.\d+)?$/

/** The value of a header that holds a decimal number from 0 on, infinite for one of hundreds of digits; undefined when it holds anything else. */
export function parseDecimal (value: string): number | undefined {
  const text = value.trim()
  return DECIMAL.test(text) ? Number(text) : undefined
}
