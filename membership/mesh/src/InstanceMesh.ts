import { LONGEST_LOSS_MS, type ObjectStore, type StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { hashText } from '@pulleystack/core.hashing'
import { defineChannel, type PeerIdentity, type WebSocketNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject, type Observable } from 'rxjs'
import { SMALL_SYSTEM, countServing } from './chooseServing.js'
import { InstanceDirectory, type KnownInstance } from './InstanceDirectory.js'
import { LifeRecord } from './LifeRecord.js'
import { ToldInstances, isServing } from './ToldInstances.js'

const PREFIX = 'instances/'
const SEED_RETRY_MS = 1_000
/** The store answers a listing within this time unless it is away; only then seeds, which are few, are asked by all that start. */
const SEED_AFTER_MS = 200
const TICK_MS = 500
const LIST_MS = 15_000
/** In a large system those that start are heard of by their links; the store is asked seldom. */
const LARGE_LIST_MS = 60_000
const LIST_RETRY_MS = 250
/** Instances unreached for this long are taken out of the store. */
const FORGET_MS = 30_000
/** After the store came back from an older copy, instances look for their records one after another, so many milliseconds apart on the mean. */
const RESTORED_SPACING_MS = 10
const CALL_MS = 500
/** Changes within this time are told together: all instances that start at once join each other within moments, and each change names all that serve. */
const TELL_MS = 200

/** Asks a peer which instances it knows. */
const INSTANCES = defineChannel<Record<string, never>, KnownInstance[]>('mesh.instances')

/** An instance that serves tells those on standby who else does. */
const SERVING = defineChannel<PeerIdentity[]>('mesh.serving', { isOnce: true })

/** What an instance writes of itself into the store. */
type InstanceRecord = Omit<KnownInstance, 'instance'>

/** How many of those that serve are known by an own link, and how many only from lists of others. */
export interface ServingSources {
  linked: number
  told: number
  /** Milliseconds since the oldest of those lists came; undefined when there is none. */
  oldestListMs: number | undefined
}

export interface InstanceMeshOptions {
  clock: Clock
  store: ObjectStore
  network: WebSocketNetwork
  log: DecisionLog
  self: PeerIdentity
  /** Peer addresses of some instances; may be out of date. */
  seeds: readonly string[]
  /** The whole system starts for the first time. */
  isFirstStart?: boolean
  /** Milliseconds after the start before it is said who serves, so that instances that start together find each other. */
  settleMs: number
}

/**
 * The other instances. The store says who may exist; links say who lives. In a small system all serve and are linked to each
 * other. In a large one the first in a common order do; the others are linked to a few of those, who tell them of the rest.
 */
export class InstanceMesh {
  private readonly directory: InstanceDirectory
  private readonly known = new Map<string, PeerIdentity>()
  private readonly served = new Set<string>()
  private readonly linked = new Set<string>()
  /** What instances that serve told this one, while it stands by. */
  private readonly told: ToldInstances
  /** What is known of former lives of this instance. */
  readonly life: LifeRecord
  private readonly subject = new Subject<void>()
  private readonly startedAt: number
  private hasFound = false
  /** Monotone time of the newest write of the own record. */
  private writtenAt = -Infinity
  /** Monotone time at which the store was last seen to have come back from an older copy. */
  private restoredAt = -Infinity
  /** Ends the wait before the next list of those that serve goes out; undefined while none is due. */
  private cancelTell: (() => void) | undefined

  constructor (private readonly opts: InstanceMeshOptions) {
    const { instance, peerAddress, dataHall, capacity = 1 } = opts.self
    this.directory = new InstanceDirectory(opts.clock, { instance, peerAddress, dataHall, capacity })
    this.startedAt = opts.clock.readTime()
    this.told = new ToldInstances(opts.clock)
    this.life = new LifeRecord(opts.clock, opts.isFirstStart ?? false)
  }

  /** Tells that an instance joined, left or changed. */
  get changes (): Observable<void> {
    return this.subject
  }

  get self (): PeerIdentity {
    return this.opts.self
  }

  /** Where an instance listens for peers. */
  findAddress (instance: string): string | undefined {
    return this.directory.findAddress(instance)
  }

  /** The other instances that have a live link. */
  listLive (): PeerIdentity[] {
    return [...this.linked].flatMap((instance) => this.known.get(instance) ?? [])
  }

  /** Names of all other instances that may exist, linked or not. */
  listOthers (): string[] {
    return this.directory.list().map(({ instance }) => instance)
  }

  /** The other instances that serve clients now; while this one stands by, also those that it only heard of. */
  listServing (): PeerIdentity[] {
    const linked = this.listLive()
    const serving = linked.filter(isServing)
    if (!this.self.standby) return serving
    const named = new Set([this.self.instance, ...serving.map((identity) => identity.instance)])
    const told = this.told.list(new Map(linked.map((identity) => [identity.instance, identity])))
    return [...serving, ...told.filter((identity) => !named.has(identity.instance))]
  }

  /** Whether another instance has told this one who serves. */
  hasList (teller: string): boolean {
    return this.told.hasList(teller)
  }

  /** Where the knowledge of those that serve stems from. */
  describeServing (): ServingSources {
    const linked = this.listLive().filter(isServing).length
    return { linked, told: this.listServing().length - linked, oldestListMs: this.told.oldestMs }
  }

  /** How many instances there may be, this one among them, whether they serve or not; undefined until some were found. */
  countKnown (): number | undefined {
    return this.hasFound ? this.directory.size : undefined
  }

  /** How many instances, this one among them, serve, should serve or were ever heard to in this life. */
  countServed (): number {
    return Math.max(this.served.size + 1, countServing(this.directory.size))
  }

  /** Whether this instance is one of those that are to serve; undefined while too little is known. */
  isChosen (): boolean | undefined {
    if (!this.hasFound || this.opts.clock.readTime() - this.startedAt < this.opts.settleMs) return undefined
    return this.directory.isChosen(this.nameServing())
  }

  /** Starts finding instances; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(INSTANCES, () => [...this.directory.list(), this.describeSelf()])
    const events = network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard') this.noteHeard(event.identity, event.isNewLink ?? false)
      else this.noteLost(event.instance, event.kind === 'silent')
    })
    const lists = network.receive(SERVING).subscribe(({ from, body }) => this.takeServing(from, body))
    const restored = this.opts.store.epochs.changes.subscribe(({ former }) => {
      if (former !== undefined) void this.restoreSelf(signal)
    })
    signal.addEventListener('abort', () => {
      events.unsubscribe()
      lists.unsubscribe()
      restored.unsubscribe()
      this.cancelTell?.()
    }, { once: true })
    void this.keepSeeds(signal)
    void this.keepListing(signal)
    void this.keepNeighbours(signal)
  }

  /** Changes what the others are told of this instance. */
  announce (changes: Partial<PeerIdentity>): void {
    Object.assign(this.opts.self, changes)
    this.opts.network.announceIdentity()
    if (changes.standby !== undefined) this.chooseNeighbours()
    this.noteSharing()
    this.noteChange()
  }

  private noteHeard (identity: PeerIdentity, isNewLink: boolean): void {
    const { instance, peerAddress, dataHall, capacity = 1 } = identity
    const before = this.known.get(instance)
    this.known.set(instance, identity)
    if (!identity.standby) this.served.add(instance)
    this.directory.noteLinked(instance)
    const isNew = !this.linked.has(instance)
    this.linked.add(instance)
    if (isNew && peerAddress !== '') this.directory.put({ instance, peerAddress, dataHall, capacity })
    if (isNew) this.opts.log.record(DecisionKinds.PEER_JOINED, { peer: instance, incarnation: identity.incarnation })
    // A list that was on its way over an earlier link may never have come.
    if ((isNew || isNewLink) && identity.standby) this.tellServing([instance])
    const isChanged = before?.leaving !== identity.leaving || before.standby !== identity.standby || before.incarnation !== identity.incarnation
    if (isNew || isChanged) this.noteChange()
  }

  private noteChange (): void {
    this.subject.next()
    this.cancelTell ??= this.opts.clock.setTimer(TELL_MS, () => {
      this.cancelTell = undefined
      this.tellServing(this.listLive().filter((identity) => identity.standby).map((identity) => identity.instance))
    })
  }

  /** Tells instances on standby who serves. */
  private tellServing (to: readonly string[]): void {
    if (!isServing(this.self)) return
    const serving = [this.self, ...this.listServing()]
    for (const instance of to) this.opts.network.send(instance, SERVING, serving)
  }

  private takeServing (from: string, serving: readonly PeerIdentity[]): void {
    this.told.take(from, serving)
    for (const { instance, peerAddress, dataHall, capacity = 1 } of serving) this.directory.put({ instance, peerAddress, dataHall, capacity })
  }

  private noteLost (instance: string, isSought: boolean): void {
    if (isSought) this.directory.noteMissing(instance)
    this.told.forget(instance)
    if (!this.linked.delete(instance)) return
    this.opts.log.record(DecisionKinds.PEER_LOST, { peer: instance })
    this.noteChange()
  }

  private async keepNeighbours (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.chooseNeighbours()
      await this.opts.clock.wait(TICK_MS, signal)
    }
  }

  private chooseNeighbours (): void {
    const serving = this.nameServing()
    const neighbours = this.self.standby ? this.directory.listStandbyNeighbours(serving) : this.directory.listServingNeighbours(serving)
    for (const { instance } of neighbours) {
      if (!this.linked.has(instance)) this.directory.noteMissing(instance)
    }
    this.opts.network.setNeighbours(neighbours)
  }

  private nameServing (): Set<string> {
    return new Set(this.listServing().map((identity) => identity.instance))
  }

  /** Tries the seeds until some instance is linked, if the store does not name any soon; they are all there is while it is down. */
  private async keepSeeds (signal: AbortSignal): Promise<void> {
    const others = this.opts.seeds.filter((address) => address !== this.opts.self.peerAddress)
    await this.opts.clock.wait(this.opts.settleMs + SEED_AFTER_MS, signal)
    while (!signal.aborted && this.linked.size === 0) {
      await Promise.all(others.map((address) => this.askSeed(address)))
      await this.opts.clock.wait(SEED_RETRY_MS, signal)
    }
  }

  private async askSeed (address: string): Promise<void> {
    const { network } = this.opts
    const identity = await network.connect(address)
    if (!identity) return
    const answer = await network.call(identity.instance, INSTANCES, {}, CALL_MS)
    if (answer.isOk()) this.take(answer.value)
  }

  private take (instances: readonly KnownInstance[]): void {
    for (const instance of instances) this.directory.put(instance)
    this.hasFound = true
    this.noteSharing()
    this.chooseNeighbours()
  }

  private noteSharing (): void {
    if (this.hasFound && !this.self.standby) this.life.noteSharing()
  }

  private async keepListing (signal: AbortSignal): Promise<void> {
    const { clock, settleMs } = this.opts
    // Instances that start together write first, so that each finds all others when it lists.
    if (settleMs > 0) {
      await this.writeSelf(0)
      await clock.wait(settleMs, signal)
    }
    while (!signal.aborted) {
      const isListed = await this.list()
      const pauseMs = this.directory.size > SMALL_SYSTEM ? LARGE_LIST_MS : LIST_MS
      await clock.wait(isListed ? pauseMs : LIST_RETRY_MS, signal)
    }
  }

  /** Reads who may exist; false when it has to be done again. */
  private async list (): Promise<boolean> {
    const { store, self } = this.opts
    const listing = await store.listObjects(PREFIX)
    if (listing.isErr()) return false
    const listed = new Map(listing.value.objects.map((object) => [object.key.slice(PREFIX.length), object]))
    this.life.noteListing(new Set(listed.keys()), self.instance)
    if (!this.mayLackInstances) {
      const unlisted = this.directory.list().filter(({ instance }) => !listed.has(instance) && !this.linked.has(instance))
      for (const { instance } of unlisted) this.directory.remove(instance)
    }
    this.take([...listed].flatMap(([instance, object]) => readRecord(instance, object) ?? []))
    const own = listed.get(self.instance)
    const isWritten = own !== undefined && readRecord(self.instance, own)?.peerAddress === self.peerAddress
    if (this.directory.isFirst()) await this.forgetMissing(listed)
    // Of two instances that write at the same time only a listing after the write is sure to show one to the other.
    if (!isWritten) await this.writeSelf(own?.version ?? 0)
    if (isWritten) this.life.noteListed()
    return isWritten
  }

  private async writeSelf (version: number): Promise<boolean> {
    const { instance, ...record } = this.describeSelf()
    const written = await this.opts.store.writeObject(PREFIX + instance, record satisfies InstanceRecord, version)
    if (written.isOk()) this.writtenAt = this.opts.clock.readTime()
    return written.isOk()
  }

  /** Instances that wrote themselves in what the store has lost may not have done so again. */
  private get mayLackInstances (): boolean {
    return this.opts.clock.readTime() - this.restoredAt < FORGET_MS
  }

  /** Writes the own record again if it is among what the store has lost. */
  private async restoreSelf (signal: AbortSignal): Promise<void> {
    const { clock, store, self } = this.opts
    this.restoredAt = clock.readTime()
    if (clock.readTime() - this.writtenAt > LONGEST_LOSS_MS) return
    await clock.wait(hashText(self.instance) % Math.max(1, this.directory.size * RESTORED_SPACING_MS), signal)
    while (!signal.aborted) {
      const own = await store.readObject(PREFIX + self.instance)
      if (own.isOk() && await this.keepSelf(own.value)) return
      await clock.wait(LIST_RETRY_MS, signal)
    }
  }

  /** Writes the own record where it is missing or another; false when that failed. */
  private async keepSelf (standing: StoredObject | undefined): Promise<boolean> {
    const { self } = this.opts
    if (standing && readRecord(self.instance, standing)?.peerAddress === self.peerAddress) return true
    const isWritten = await this.writeSelf(standing?.version ?? 0)
    if (isWritten) this.opts.log.record(DecisionKinds.RECORD_RESTORED, { record: 'instance', key: self.instance })
    return isWritten
  }

  /** Objects of instances that are gone would be listed and dialled for ever. One that lives writes itself again. */
  private async forgetMissing (listed: ReadonlyMap<string, StoredObject>): Promise<void> {
    for (const instance of this.directory.listMissing(FORGET_MS)) {
      const object = listed.get(instance)
      if (object) await this.opts.store.deleteObject(object.key, object.version)
    }
  }

  private describeSelf (): KnownInstance {
    const { instance, peerAddress, dataHall, capacity = 1 } = this.opts.self
    return { instance, peerAddress, dataHall, capacity }
  }
}

function readRecord (instance: string, object: StoredObject): KnownInstance | undefined {
  const record = object.value as Partial<InstanceRecord> | null
  if (typeof record?.peerAddress !== 'string') return undefined
  return { instance, peerAddress: record.peerAddress, dataHall: record.dataHall ?? '', capacity: record.capacity ?? 1 }
}
