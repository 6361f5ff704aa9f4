import type { StreamOrigin } from '@pulleystack/routing.fleet'

const MAX_ID_LENGTH = 128
const MAX_NAME_LENGTH = 256

/** Whether a request id may name a record. Longer ids are not kept. */
export function isRecordId (id: unknown): id is string {
  return typeof id === 'string' && id.length > 0 && id.length <= MAX_ID_LENGTH
}

/** Whether the text may be the name of a service or of a version. */
export function isName (name: unknown): name is string {
  return typeof name === 'string' && name.length <= MAX_NAME_LENGTH
}

export function isSameOrigin (one: StreamOrigin, other: StreamOrigin): boolean {
  return one.service === other.service && one.version === other.version
}
