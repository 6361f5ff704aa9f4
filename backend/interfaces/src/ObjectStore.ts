import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'
import { StoreEpochs } from './StoreEpochs.js'

/** An object of the object API. Versions increase across all objects and epochs of the store, see `buildVersion`. */
export interface StoredObject {
  key: string
  version: number
  value: unknown
}

/** A change reported by a watch. `value` is undefined if the object was deleted. */
export interface StoreChange {
  key: string
  version: number
  value: unknown
}

/** How objects are read. */
export interface ReadOptions {
  /** Larger values may be read as null, so that a useless one doesn't hold up everything else. */
  maxValueBytes?: number
}

/** All objects under a prefix at one version. */
export interface StoreListing {
  objects: StoredObject[]
  version: number
}

/** Changes after the requested version, up to and including `version`. */
export interface ChangeBatch {
  changes: StoreChange[]
  version: number
}

/**
 * The platform's object API. A write that fails with STORE_OUTCOME_UNKNOWN may have taken effect; one with STORE_UNAVAILABLE, or with
 * STORE_CONFLICT (another version than expected), did not. STORE_RESTORED means that it took effect, but the expected version is of an earlier
 * epoch, so it is unknown what the write replaced.
 */
export abstract class ObjectStore {
  /** Epochs of the store. A store that reports none remains in its first one. */
  readonly epochs = new StoreEpochs()

  abstract readObject (key: string, opts?: ReadOptions): Promise<Result<StoredObject | undefined, PulleystackError>>
  abstract listObjects (prefix: string, opts?: ReadOptions): Promise<Result<StoreListing, PulleystackError>>
  /** Writes an object if it has `expectedVersion` (0: it must not exist). Returns the new version. */
  abstract writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>>
  abstract deleteObject (key: string, expectedVersion: number): Promise<Result<number, PulleystackError>>
  /** Waits up to `waitMs` milliseconds for changes under the prefix after a version. STORE_COMPACTED means that the caller must list the objects again. */
  abstract waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>>
}
