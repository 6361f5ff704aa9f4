import type { GenerateEnd, GeneratedToken, StoreChange, StoredObject } from '@pulleystack/backend.interfaces'

/** Paths of the platform's and the engines' HTTP interfaces. */
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

/** Header that carries an attempt's id to a backend server and back. */
export const ATTEMPT_HEADER = 'pulleystack-attempt'
/** Header by which a plain service that refuses a call says that it did not run. */
export const RAN_HEADER = 'pulleystack-ran'
/** Header with an object's version, both ways. */
export const VERSION_HEADER = 'object-version'

export interface ListAnswer {
  objects: StoredObject[]
  version: number
}

export interface WatchAnswer {
  changes: StoreChange[]
  version: number
}

/** One line of a generation stream. */
export type GenerateLine = { t: [offset: number, text: string] } | { end: Omit<GenerateEnd, 'attempt'> } | { attempt: string }

export type { GeneratedToken }
