import { hash } from 'node:crypto'

/** SHA-256 in hexadecimal. Access keys are long random texts, so that no slow hash is needed. */
export function hashAccessKey (key: string): string {
  return hash('sha256', key, 'hex')
}
