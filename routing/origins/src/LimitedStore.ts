import { ObjectStore, type ChangeBatch, type ReadOptions, type StoreEpochs, type StoredObject, type StoreListing } from '@pulleystack/backend.interfaces'
import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** A store whose objects are read only up to a size; larger ones may be read as null. */
export class LimitedStore extends ObjectStore {
  override readonly epochs: StoreEpochs
  private readonly readOptions: ReadOptions

  constructor (private readonly store: ObjectStore, maxValueBytes: number) {
    super()
    this.epochs = store.epochs
    this.readOptions = { maxValueBytes }
  }

  override readObject (key: string): Promise<Result<StoredObject | undefined, PulleystackError>> {
    return this.store.readObject(key, this.readOptions)
  }

  override listObjects (prefix: string): Promise<Result<StoreListing, PulleystackError>> {
    return this.store.listObjects(prefix, this.readOptions)
  }

  override writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.store.writeObject(key, value, expectedVersion)
  }

  override deleteObject (key: string, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.store.deleteObject(key, expectedVersion)
  }

  override waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    return this.store.waitForChanges(prefix, afterVersion, waitMs, signal)
  }
}
