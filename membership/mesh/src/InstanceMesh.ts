import { MAX_RESTORE_LOSS_MS, type ObjectStore, type StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { hashText } from '@pulleystack/core.hashing'
import { keepRunning } from '@pulleystack/core.tasks'
import { defineChannel, type PeerIdentity, type WebSocketNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject, type Observable } from 'rxjs'
import { SMALL_SYSTEM_INSTANCES, computeServingCount } from './chooseServing.js'
import { InstanceDirectory, type KnownInstance } from './InstanceDirectory.js'
import { ProcessRun } from './ProcessRun.js'
import { ReportedServing, isServing } from './ReportedServing.js'

const INSTANCES_PREFIX = 'instances/'
const SEED_RETRY_DELAY_MS = 1_000
/** Time given to the store to answer before the seeds are contacted, so that starting instances do not overload the few seeds. */
const SEED_DELAY_MS = 200
const NEIGHBOUR_CHECK_INTERVAL_MS = 500
const LIST_INTERVAL_MS = 15_000
/** A large system learns of new instances mostly over links. */
const LARGE_SYSTEM_LIST_INTERVAL_MS = 60_000
const LIST_RETRY_DELAY_MS = 250
/** Records of instances that have been unreachable for longer than this are deleted from the store. */
const REMOVE_AFTER_MS = 30_000
/** Mean interval between the record checks of different instances after the store was restored from an older snapshot. */
const RESTORE_CHECK_SPACING_MS = 10
const CALL_TIMEOUT_MS = 500
/** Changes within this time are sent as one list, as many instances may start at once. */
const SERVING_BATCH_MS = 200

/** Requests the list of instances known to a peer. */
const INSTANCES = defineChannel<Record<string, never>, KnownInstance[]>('mesh.instances')

/** Serving instances send the list of serving instances to standby ones. */
const SERVING = defineChannel<PeerIdentity[]>('mesh.serving', { isOneShot: true })

/** The record of an instance in the store. */
type InstanceRecord = Omit<KnownInstance, 'instance'>

/** How the serving instances are known: by a link (`linked`) or only from the lists of other instances (`told`). */
export interface ServingSources {
  linked: number
  told: number
  /** Age of the oldest of those lists in milliseconds; undefined when there is none. */
  oldestListMs: number | undefined
}

export interface InstanceMeshOptions {
  clock: Clock
  store: ObjectStore
  network: WebSocketNetwork
  log: DecisionLog
  self: PeerIdentity
  /** Peer addresses of some instances; may be outdated. */
  seeds: readonly string[]
  /** Whether the whole system starts for the first time. */
  isFirstStart?: boolean
  /** Milliseconds after the start until the serving instances are chosen, so that instances starting together find each other. */
  settleMs: number
}

/**
 * Discovers the other instances from records in the store and seeds, and tracks which are alive by their links. In a small system all instances serve
 * and form a full mesh. In a large one the highest ranked serve; the others stand by, linked to a few of them that report the rest.
 */
export class InstanceMesh {
  private readonly directory: InstanceDirectory
  private readonly identities = new Map<string, PeerIdentity>()
  private readonly seenServing = new Set<string>()
  private readonly linked = new Set<string>()
  /** Lists received from serving instances while this one is on standby. */
  private readonly reported: ReportedServing
  /** How long this process has run and served. */
  readonly processRun: ProcessRun
  private readonly changed = new Subject<void>()
  private readonly startedAt: number
  private hasFoundInstances = false
  /** Monotonic time of the latest write of the own record, in ms. */
  private recordWrittenAt = -Infinity
  /** Monotonic time at which a restore of the store from an older snapshot was last noticed, in ms. */
  private storeRestoredAt = -Infinity
  /** Cancels the timer that sends the next list of serving instances; undefined while none is due. */
  private cancelServingTimer: (() => void) | undefined

  constructor (private readonly opts: InstanceMeshOptions) {
    const { instance, peerAddress, dataHall, capacity = 1 } = opts.self
    this.directory = new InstanceDirectory(opts.clock, { instance, peerAddress, dataHall, capacity })
    this.startedAt = opts.clock.readTime()
    this.reported = new ReportedServing(opts.clock)
    this.processRun = new ProcessRun(opts.clock, opts.isFirstStart ?? false)
  }

  /** Emits when an instance joins, leaves or changes. */
  get changes (): Observable<void> {
    return this.changed
  }

  get self (): PeerIdentity {
    return this.opts.self
  }

  /** Finds the address where an instance listens for peers. */
  findAddress (instance: string): string | undefined {
    return this.directory.findAddress(instance)
  }

  /** Lists the other instances that are linked. */
  listLinked (): PeerIdentity[] {
    return [...this.linked].flatMap((instance) => this.identities.get(instance) ?? [])
  }

  /** Lists the names of all other registered instances, linked or not. */
  listOthers (): string[] {
    return this.directory.list().map(({ instance }) => instance)
  }

  /** Lists the other serving instances; while this one is on standby, also those reported by peers. */
  listServing (): PeerIdentity[] {
    const linked = this.listLinked()
    const serving = linked.filter(isServing)
    if (!this.self.standby) return serving
    const included = new Set([this.self.instance, ...serving.map((identity) => identity.instance)])
    const reported = this.reported.list(new Map(linked.map((identity) => [identity.instance, identity])))
    return [...serving, ...reported.filter((identity) => !included.has(identity.instance))]
  }

  /** Whether an instance has sent its list of serving instances. */
  hasServingListFrom (reporter: string): boolean {
    return this.reported.hasList(reporter)
  }

  /** Counts the serving instances by the source of their entries. */
  countServingSources (): ServingSources {
    const linked = this.listLinked().filter(isServing).length
    return { linked, told: this.listServing().length - linked, oldestListMs: this.reported.oldestMs }
  }

  /** Number of registered instances including this one, serving or not; undefined until the first were found. */
  countRegistered (): number | undefined {
    return this.hasFoundInstances ? this.directory.size : undefined
  }

  /** Upper estimate of the serving instances including this one: those seen to serve in this run, but at least the required number. */
  countServingSeen (): number {
    return Math.max(this.seenServing.size + 1, computeServingCount(this.directory.size))
  }

  /** Whether this instance should serve; undefined until enough instances are known to decide. */
  isChosenToServe (): boolean | undefined {
    if (!this.hasFoundInstances || this.opts.clock.readTime() - this.startedAt < this.opts.settleMs) return undefined
    return this.directory.isChosenToServe(this.listServingNames())
  }

  /** Discovers instances until the signal is aborted. */
  start (signal: AbortSignal): void {
    const { clock, network } = this.opts
    network.handleCalls(INSTANCES, () => [...this.directory.list(), this.describeSelf()])
    const events = network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard') this.notePeerHeard(event.identity, event.isNewLink ?? false)
      else this.notePeerLost(event.instance, event.kind === 'silent')
    })
    const servingLists = network.receive(SERVING).subscribe(({ from, body }) => this.acceptServing(from, body))
    const epochChanges = this.opts.store.epochs.changes.subscribe(({ previous }) => {
      if (previous !== undefined) void this.restoreOwnRecord(signal)
    })
    signal.addEventListener('abort', () => {
      events.unsubscribe()
      servingLists.unsubscribe()
      epochChanges.unsubscribe()
      this.cancelServingTimer?.()
    }, { once: true })
    keepRunning({ task: 'contact to seeds', clock, signal, run: () => this.connectToSeeds(signal) })
    keepRunning({ task: 'list of instances', clock, signal, run: () => this.keepLoadingInstances(signal) })
    keepRunning({ task: 'choice of neighbours', clock, signal, run: () => this.keepNeighbours(signal) })
  }

  /** Changes the identity of this instance and sends it to its peers. */
  announce (changes: Partial<PeerIdentity>): void {
    Object.assign(this.opts.self, changes)
    this.opts.network.announceIdentity()
    if (changes.standby !== undefined) this.chooseNeighbours()
    this.updateServing()
    this.announceChange()
  }

  private notePeerHeard (identity: PeerIdentity, isNewLink: boolean): void {
    const { instance, peerAddress, dataHall, capacity = 1 } = identity
    const previous = this.identities.get(instance)
    this.identities.set(instance, identity)
    if (!identity.standby) this.seenServing.add(instance)
    this.directory.recordLinked(instance)
    const isNew = !this.linked.has(instance)
    this.linked.add(instance)
    if (isNew && peerAddress !== '') this.directory.put({ instance, peerAddress, dataHall, capacity })
    if (isNew) this.opts.log.record(DecisionKinds.PEER_JOINED, { peer: instance, incarnation: identity.incarnation })
    // A list sent over an earlier link may have been lost.
    if ((isNew || isNewLink) && identity.standby) this.sendServing([instance])
    const isChanged = previous?.leaving !== identity.leaving || previous.standby !== identity.standby || previous.incarnation !== identity.incarnation
    if (isNew || isChanged) this.announceChange()
  }

  private announceChange (): void {
    this.changed.next()
    this.cancelServingTimer ??= this.opts.clock.setTimer(SERVING_BATCH_MS, () => {
      this.cancelServingTimer = undefined
      this.sendServing(this.listLinked().filter((identity) => identity.standby).map((identity) => identity.instance))
    })
  }

  /** Sends the list of serving instances to standby ones. */
  private sendServing (to: readonly string[]): void {
    if (!isServing(this.self)) return
    const serving = [this.self, ...this.listServing()]
    for (const instance of to) this.opts.network.send(instance, SERVING, serving)
  }

  private acceptServing (from: string, serving: readonly PeerIdentity[]): void {
    this.reported.record(from, serving)
    for (const { instance, peerAddress, dataHall, capacity = 1 } of serving) this.directory.put({ instance, peerAddress, dataHall, capacity })
  }

  private notePeerLost (instance: string, isUnreachable: boolean): void {
    if (isUnreachable) this.directory.recordUnreachable(instance)
    this.reported.forget(instance)
    if (!this.linked.delete(instance)) return
    this.opts.log.record(DecisionKinds.PEER_LOST, { peer: instance })
    this.announceChange()
  }

  private async keepNeighbours (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.chooseNeighbours()
      await this.opts.clock.wait(NEIGHBOUR_CHECK_INTERVAL_MS, signal)
    }
  }

  private chooseNeighbours (): void {
    const serving = this.listServingNames()
    const neighbours = this.self.standby ? this.directory.listStandbyNeighbours(serving) : this.directory.listServingNeighbours(serving)
    for (const { instance } of neighbours) {
      if (!this.linked.has(instance)) this.directory.recordUnreachable(instance)
    }
    this.opts.network.setNeighbours(neighbours)
  }

  private listServingNames (): Set<string> {
    return new Set(this.listServing().map((identity) => identity.instance))
  }

  /** Contacts the seeds until an instance is linked, for when the store is unavailable. */
  private async connectToSeeds (signal: AbortSignal): Promise<void> {
    const otherSeeds = this.opts.seeds.filter((address) => address !== this.opts.self.peerAddress)
    await this.opts.clock.wait(this.opts.settleMs + SEED_DELAY_MS, signal)
    while (!signal.aborted && this.linked.size === 0) {
      await Promise.all(otherSeeds.map((address) => this.askSeed(address)))
      await this.opts.clock.wait(SEED_RETRY_DELAY_MS, signal)
    }
  }

  private async askSeed (address: string): Promise<void> {
    const { network } = this.opts
    const identity = await network.connect(address)
    if (!identity) return
    const answer = await network.call(identity.instance, INSTANCES, {}, CALL_TIMEOUT_MS)
    if (answer.isOk()) this.addInstances(answer.value)
  }

  private addInstances (instances: readonly KnownInstance[]): void {
    for (const instance of instances) this.directory.put(instance)
    this.hasFoundInstances = true
    this.updateServing()
    this.chooseNeighbours()
  }

  private updateServing (): void {
    if (this.hasFoundInstances && !this.self.standby) this.processRun.recordServing()
  }

  private async keepLoadingInstances (signal: AbortSignal): Promise<void> {
    const { clock, settleMs } = this.opts
    // Instances that start together write their records first, so that each finds all others in its first listing.
    if (settleMs > 0) {
      await this.writeOwnRecord(0)
      await clock.wait(settleMs, signal)
    }
    while (!signal.aborted) {
      const isDone = await this.loadInstances()
      const pauseMs = this.directory.size > SMALL_SYSTEM_INSTANCES ? LARGE_SYSTEM_LIST_INTERVAL_MS : LIST_INTERVAL_MS
      await clock.wait(isDone ? pauseMs : LIST_RETRY_DELAY_MS, signal)
    }
  }

  /** Reads the records of all instances; returns false when this must be repeated. */
  private async loadInstances (): Promise<boolean> {
    const { store, self } = this.opts
    const listing = await store.listObjects(INSTANCES_PREFIX)
    if (listing.isErr()) return false
    const listed = new Map(listing.value.objects.map((object) => [object.key.slice(INSTANCES_PREFIX.length), object]))
    this.processRun.recordListing(new Set(listed.keys()), self.instance)
    if (!this.mayLackInstances) {
      const unlisted = this.directory.list().filter(({ instance }) => !listed.has(instance) && !this.linked.has(instance))
      for (const { instance } of unlisted) this.directory.remove(instance)
    }
    this.addInstances([...listed].flatMap(([instance, object]) => readRecord(instance, object) ?? []))
    const own = listed.get(self.instance)
    const isWritten = own !== undefined && readRecord(self.instance, own)?.peerAddress === self.peerAddress
    if (this.directory.isFirstReachable()) await this.deleteUnreachable(listed)
    // Two instances that write at the same time may miss each other; a listing after the write is needed.
    if (!isWritten) await this.writeOwnRecord(own?.version ?? 0)
    if (isWritten) this.processRun.recordOwnListing()
    return isWritten
  }

  private async writeOwnRecord (version: number): Promise<boolean> {
    const { instance, ...record } = this.describeSelf()
    const written = await this.opts.store.writeObject(INSTANCES_PREFIX + instance, record satisfies InstanceRecord, version)
    if (written.isOk()) this.recordWrittenAt = this.opts.clock.readTime()
    return written.isOk()
  }

  /** After a restore of the store, instances may not have rewritten their lost records yet. */
  private get mayLackInstances (): boolean {
    return this.opts.clock.readTime() - this.storeRestoredAt < REMOVE_AFTER_MS
  }

  /** Rewrites the own record if the store has lost it. */
  private async restoreOwnRecord (signal: AbortSignal): Promise<void> {
    const { clock, store, self } = this.opts
    this.storeRestoredAt = clock.readTime()
    if (clock.readTime() - this.recordWrittenAt > MAX_RESTORE_LOSS_MS) return
    await clock.wait(hashText(self.instance) % Math.max(1, this.directory.size * RESTORE_CHECK_SPACING_MS), signal)
    while (!signal.aborted) {
      const own = await store.readObject(INSTANCES_PREFIX + self.instance)
      if (own.isOk() && await this.ensureOwnRecord(own.value)) return
      await clock.wait(LIST_RETRY_DELAY_MS, signal)
    }
  }

  /** Writes the own record if it is missing or differs; returns false when that failed. */
  private async ensureOwnRecord (current: StoredObject | undefined): Promise<boolean> {
    const { self } = this.opts
    if (current && readRecord(self.instance, current)?.peerAddress === self.peerAddress) return true
    const isWritten = await this.writeOwnRecord(current?.version ?? 0)
    if (isWritten) this.opts.log.record(DecisionKinds.RECORD_RESTORED, { record: 'instance', key: self.instance })
    return isWritten
  }

  /** Deletes the records of unreachable instances, which would be dialled forever. A running instance rewrites its own. */
  private async deleteUnreachable (listed: ReadonlyMap<string, StoredObject>): Promise<void> {
    for (const instance of this.directory.listUnreachable(REMOVE_AFTER_MS)) {
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
