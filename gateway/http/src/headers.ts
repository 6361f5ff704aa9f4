import type http from 'node:http'
import { PulleystackError } from '@pulleystack/core.errors'

const BEARER = /^Bearer +([\x21-\x7e]{1,200})$/i

/** The access key of a request; undefined when there is none. */
export function parseBearer (headers: http.IncomingHttpHeaders): string | undefined {
  return BEARER.exec(headers.authorization ?? '')?.[1]
}

/** A header that holds a positive number of at most `max`; undefined when absent. */
export function parsePositiveHeader (headers: http.IncomingHttpHeaders, name: string, max: number): number | undefined {
  const text = headers[name]
  if (text === undefined) return undefined
  const value = Number(text)
  if (typeof text === 'string' && /^\d+$/.test(text) && value >= 1 && value <= max) return value
  throw new PulleystackError('BAD_HEADER', `Header "${name}" must be a whole number from 1 to ${max}`, { field: name })
}

/** What the caller says about repeating; undefined leaves it to the service's rules. */
export function parseRepeatable (headers: http.IncomingHttpHeaders, name: string): boolean | undefined {
  const text = headers[name]
  if (text === undefined) return undefined
  if (text === 'yes' || text === 'no') return text === 'yes'
  throw new PulleystackError('BAD_HEADER', `Header "${name}" must be yes or no`, { field: name })
}
