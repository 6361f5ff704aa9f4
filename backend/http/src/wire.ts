import type { GenerateEnd, GeneratedToken, StoreChange, StoredObject } from '@pulleystack/backend.interfaces'

/** Paths of the HTTP APIs of the platform and the engines. */
export const Paths = {
  OBJECTS: '/objects',
  WATCH: '/watch',
  INSTANCES: '/instances',
  WEIGHT_LIMITS: '/limits',
  GENERATE: '/generate',
  RESUME: '/resume',
  CANCEL: '/cancel',
  REPORT: '/report',
  INVENTORY: '/inventory',
  ORDERS: '/orders',
} as const

/** Header with the id of an attempt, in requests to backend servers and in their responses. */
export const ATTEMPT_HEADER = 'pulleystack-attempt'
/** Response header by which a plain service that rejects a call reports whether it ran. */
export const RAN_HEADER = 'pulleystack-ran'
/** Header with an object's version, in requests and responses. */
export const VERSION_HEADER = 'object-version'

export interface ListAnswer {
  objects: StoredObject[]
  version: number
}

export interface WatchAnswer {
  changes: StoreChange[]
  version: number
}

/** A line of a generation stream: a token, the end, or the id of the attempt. */
export type GenerateLine = { t: [offset: number, text: string] } | { end: Omit<GenerateEnd, 'attempt'> } | { attempt: string }

export type { GeneratedToken }
