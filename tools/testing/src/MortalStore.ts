import { ObjectStore, type StoreEpochs } from '@pulleystack/backend.interfaces'

type Answer<M extends Exclude<keyof ObjectStore, 'epochs'>> = ReturnType<ObjectStore[M]>

/** One instance's way to a shared store. After its death nothing is sent and nothing comes back. */
export class MortalStore extends ObjectStore {
  dead = false
  override readonly epochs: StoreEpochs

  constructor (private readonly inner: ObjectStore) {
    super()
    this.epochs = inner.epochs
  }

  readObject (key: string): Answer<'readObject'> {
    return this.pass(() => this.inner.readObject(key))
  }

  listObjects (prefix: string): Answer<'listObjects'> {
    return this.pass(() => this.inner.listObjects(prefix))
  }

  writeObject (key: string, value: unknown, expectedVersion: number): Answer<'writeObject'> {
    return this.pass(() => this.inner.writeObject(key, value, expectedVersion))
  }

  deleteObject (key: string, expectedVersion: number): Answer<'deleteObject'> {
    return this.pass(() => this.inner.deleteObject(key, expectedVersion))
  }

  waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Answer<'waitForChanges'> {
    return this.pass(() => this.inner.waitForChanges(prefix, afterVersion, waitMs, signal))
  }

  private async pass<T> (send: () => Promise<T>): Promise<T> {
    if (this.dead) return new Promise<T>(() => undefined)
    const answer = await send()
    return this.dead ? new Promise<T>(() => undefined) : answer
  }
}
