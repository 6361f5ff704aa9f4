import { ObjectStore, type StoreEpochs } from '@pulleystack/backend.interfaces'

type StoreResult<M extends Exclude<keyof ObjectStore, 'epochs'>> = ReturnType<ObjectStore[M]>

/** One instance's connection to a shared store. Once `dead` is set, calls are not sent and never settle. */
export class MortalStore extends ObjectStore {
  dead = false
  override readonly epochs: StoreEpochs

  constructor (private readonly inner: ObjectStore) {
    super()
    this.epochs = inner.epochs
  }

  readObject (key: string): StoreResult<'readObject'> {
    return this.send(() => this.inner.readObject(key))
  }

  listObjects (prefix: string): StoreResult<'listObjects'> {
    return this.send(() => this.inner.listObjects(prefix))
  }

  writeObject (key: string, value: unknown, expectedVersion: number): StoreResult<'writeObject'> {
    return this.send(() => this.inner.writeObject(key, value, expectedVersion))
  }

  deleteObject (key: string, expectedVersion: number): StoreResult<'deleteObject'> {
    return this.send(() => this.inner.deleteObject(key, expectedVersion))
  }

  waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): StoreResult<'waitForChanges'> {
    return this.send(() => this.inner.waitForChanges(prefix, afterVersion, waitMs, signal))
  }

  private async send<T> (callStore: () => Promise<T>): Promise<T> {
    if (this.dead) return new Promise<T>(() => undefined)
    const result = await callStore()
    return this.dead ? new Promise<T>(() => undefined) : result
  }
}
