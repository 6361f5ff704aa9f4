import { hash } from 'node:crypto'

/** Returns the SHA-256 of a key in hexadecimal. Access keys are long and random, so they need no slow password hash. */
export function hashAccessKey (key: string): string {
  return hash('sha256', key, 'hex')
}
