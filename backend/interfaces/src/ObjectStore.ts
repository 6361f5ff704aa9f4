import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'
import { StoreEpochs } from './StoreEpochs.js'

/** A value of the object API with its version. Versions count up over all objects and epochs of the store (`buildVersion`). */
export interface StoredObject {
  key: string
  version: number
  value: unknown
}

/** One change as a watch reports it; `value` is undefined when the object was deleted. */
export interface StoreChange {
  key: string
  version: number
  value: unknown
}

/** All objects under a prefix as of one version. */
export interface StoreListing {
  objects: StoredObject[]
  version: number
}

/** Changes after the version asked for, up to `version`. */
export interface ChangeBatch {
  changes: StoreChange[]
  version: number
}

/**
 * The platform's object API. A write that fails with STORE_OUTCOME_UNKNOWN may have taken effect;
 * STORE_UNAVAILABLE is said only when it did not, STORE_CONFLICT when the version differed. STORE_RESTORED: it took effect, though the expected version is
 * of an epoch that has ended; what it replaced is not known.
 */
export abstract class ObjectStore {
  /** Epochs of the store; a store that names none stays in its first one. */
  readonly epochs = new StoreEpochs()

  abstract readObject (key: string): Promise<Result<StoredObject | undefined, PulleystackError>>
  abstract listObjects (prefix: string): Promise<Result<StoreListing, PulleystackError>>
  /** Writes when the object has `expectedVersion`, 0 meaning that it does not exist; gives the new version. */
  abstract writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>>
  abstract deleteObject (key: string, expectedVersion: number): Promise<Result<number, PulleystackError>>
  /** Waits up to `waitMs` for changes under the prefix after a version; STORE_COMPACTED asks for a new listing. */
  abstract waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>>
}
