import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import type { PeerIdentity, WebSocketNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject, type Observable } from 'rxjs'

const PREFIX = 'instances/'
const SEED_RETRY_MS = 1_000
const LIST_MS = 15_000
const LIST_RETRY_MS = 1_000

/** What an instance writes of itself into the store. */
interface InstanceRecord {
  peerAddress: string
}

export interface InstanceMeshOptions {
  clock: Clock
  store: ObjectStore
  network: WebSocketNetwork
  log: DecisionLog
  self: PeerIdentity
  /** Peer addresses of some instances; may be out of date. */
  seeds: readonly string[]
}

/**
 * All other instances, each with one link. The store says who may exist; links say who lives. An instance that starts
 * dials all that it finds, so that those need not watch for it.
 */
export class InstanceMesh {
  private readonly known = new Map<string, PeerIdentity>()
  private readonly addresses = new Map<string, string>()
  private readonly linked = new Set<string>()
  private readonly subject = new Subject<void>()

  constructor (private readonly opts: InstanceMeshOptions) {}

  /** Tells that an instance joined, left or changed. */
  get changes (): Observable<void> {
    return this.subject
  }

  get self (): PeerIdentity {
    return this.opts.self
  }

  /** Where an instance listens for peers. */
  findAddress (instance: string): string | undefined {
    return this.addresses.get(instance)
  }

  /** The other instances that have a live link. */
  listLive (): PeerIdentity[] {
    return [...this.linked].flatMap((instance) => this.known.get(instance) ?? [])
  }

  /** The other instances that were ever heard of in this life. */
  listKnown (): PeerIdentity[] {
    return [...this.known.values()]
  }

  /** Starts finding instances; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const events = this.opts.network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard') this.noteHeard(event.identity)
      else this.noteSilent(event.instance)
    })
    signal.addEventListener('abort', () => events.unsubscribe(), { once: true })
    void this.keepSeeds(signal)
    void this.keepListing(signal)
  }

  /** Changes what the others are told of this instance. */
  announce (changes: Partial<PeerIdentity>): void {
    Object.assign(this.opts.self, changes)
    this.opts.network.announceIdentity()
    this.subject.next()
  }

  /** Removes this instance's object from the store. */
  async withdraw (): Promise<void> {
    const key = PREFIX + this.opts.self.instance
    const read = await this.opts.store.readObject(key)
    if (read.isOk() && read.value) await this.opts.store.deleteObject(key, read.value.version)
  }

  private noteHeard (identity: PeerIdentity): void {
    const before = this.known.get(identity.instance)
    this.known.set(identity.instance, identity)
    if (identity.peerAddress !== '') this.noteAddress(identity.instance, identity.peerAddress)
    const isNew = !this.linked.has(identity.instance)
    this.linked.add(identity.instance)
    if (isNew) this.opts.log.record(DecisionKinds.PEER_JOINED, { peer: identity.instance, incarnation: identity.incarnation })
    if (isNew || before?.leaving !== identity.leaving || before.incarnation !== identity.incarnation) this.subject.next()
  }

  private noteSilent (instance: string): void {
    if (!this.linked.delete(instance)) return
    this.opts.log.record(DecisionKinds.PEER_LOST, { peer: instance })
    this.subject.next()
  }

  private noteAddress (instance: string, peerAddress: string): void {
    if (instance === this.opts.self.instance || this.addresses.get(instance) === peerAddress) return
    this.addresses.set(instance, peerAddress)
    this.opts.network.setNeighbours([...this.addresses].map(([name, address]) => ({ instance: name, peerAddress: address })))
  }

  /** Tries the seeds until some instance is linked; they are all there is while the store is down. */
  private async keepSeeds (signal: AbortSignal): Promise<void> {
    const others = this.opts.seeds.filter((address) => address !== this.opts.self.peerAddress)
    while (!signal.aborted && this.linked.size === 0) {
      await Promise.all(others.map((address) => this.opts.network.connect(address)))
      await this.opts.clock.wait(SEED_RETRY_MS, signal)
    }
  }

  private async keepListing (signal: AbortSignal): Promise<void> {
    let isWritten = false
    while (!signal.aborted) {
      isWritten ||= await this.writeSelf()
      const listing = await this.opts.store.listObjects(PREFIX)
      if (listing.isOk()) {
        for (const object of listing.value.objects) {
          const record = object.value as Partial<InstanceRecord> | null
          if (typeof record?.peerAddress === 'string') this.noteAddress(object.key.slice(PREFIX.length), record.peerAddress)
        }
      }
      await this.opts.clock.wait(isWritten && listing.isOk() ? LIST_MS : LIST_RETRY_MS, signal)
    }
  }

  private async writeSelf (): Promise<boolean> {
    const { store, self } = this.opts
    const key = PREFIX + self.instance
    const record: InstanceRecord = { peerAddress: self.peerAddress }
    const created = await store.writeObject(key, record, 0)
    if (created.isOk()) return true
    if (created.error.code !== 'STORE_CONFLICT') return false
    const read = await store.readObject(key)
    if (read.isErr() || !read.value) return false
    return (await store.writeObject(key, record, read.value.version)).isOk()
  }
}
