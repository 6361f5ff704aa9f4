import type http from 'node:http'
import { PulleystackError } from '@pulleystack/core.errors'

const BEARER_PATTERN = /^Bearer +([\x21-\x7e]{1,200})$/i

/** Returns the bearer token of the Authorization header; undefined when it is missing or malformed. */
export function parseBearerToken (headers: http.IncomingHttpHeaders): string | undefined {
  return BEARER_PATTERN.exec(headers.authorization ?? '')?.[1]
}

/** Parses a header that holds a whole number from 1 to `max`; undefined when it is absent. Throws BAD_HEADER for any other value. */
export function parsePositiveIntegerHeader (headers: http.IncomingHttpHeaders, name: string, max: number): number | undefined {
  const text = headers[name]
  if (text === undefined) return undefined
  const value = Number(text)
  if (typeof text === 'string' && /^\d+$/.test(text) && value >= 1 && value <= max) return value
  throw new PulleystackError('BAD_HEADER', `Header "${name}" must be a whole number from 1 to ${max}`, { field: name })
}

/** Parses a header that holds `yes` or `no`; undefined when it is absent. Throws BAD_HEADER for any other value. */
export function parseYesNoHeader (headers: http.IncomingHttpHeaders, name: string): boolean | undefined {
  const text = headers[name]
  if (text === undefined) return undefined
  if (text === 'yes' || text === 'no') return text === 'yes'
  throw new PulleystackError('BAD_HEADER', `Header "${name}" must be yes or no`, { field: name })
}
