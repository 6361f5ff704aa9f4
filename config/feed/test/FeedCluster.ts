import type { ChangeBatch, ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import { Clock, ManualClock, RandomSource, type CancelTimer } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { Err, type Result } from 'neverthrow'
import { StoreFeed } from '../src/index.js'

export const PREFIX = 'things/'
/** Below the 2 s within which a change must take effect. */
export const MAX_PROPAGATION_MS = 1_900
/** An outage that is this long may expire objects. */
export const MIN_EXPIRY_MS = 2_400
/** Bytes that a call sends on the uplink. */
const REQUEST_BYTES = 300

/** The clock of one process; while it is frozen, timers are delayed until it resumes. */
class ProcessClock extends Clock {
  private isFrozen = false
  private delayedTasks: (() => void)[] = []

  /** `offsetMs` is how far it is ahead of the shared clock. */
  constructor (private readonly clock: ManualClock, private readonly offsetMs: number) {
    super()
  }

  readWallTime (): number {
    return this.clock.readWallTime()
  }

  readTime (): number {
    return this.clock.readTime() + this.offsetMs
  }

  setTimer (ms: number, task: () => void): CancelTimer {
    let isCancelled = false
    const run = (): void => {
      if (this.isFrozen) this.delayedTasks.push(run)
      else if (!isCancelled) task()
    }
    const cancel = this.clock.setTimer(ms, run)
    return () => {
      isCancelled = true
      cancel()
    }
  }

  freeze (): void {
    this.isFrozen = true
  }

  resume (): void {
    this.isFrozen = false
    for (const run of this.delayedTasks.splice(0)) run()
  }
}

/** `cutting` breaks off calls that wait for changes, and answers all others. */
type PathState = 'good' | 'silent' | 'failing' | 'cutting'

/** A call that takes longer waits for changes. */
const MAX_CALL_MS = 10

/** One instance's connection to the shared store over its uplink; counts calls and can time out or fail. */
class StorePath extends MemoryObjectStore {
  calls = 0
  state: PathState = 'good'

  constructor (private readonly connection: { name: string, clock: Clock, shared: MemoryObjectStore, hub: FakeHub }) {
    super({ clock: connection.clock })
  }

  override async listObjects (prefix: string): ReturnType<ObjectStore['listObjects']> {
    return await this.check(1_500) ?? this.connection.shared.listObjects(prefix)
  }

  override async waitForChanges (prefix: string, after: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    if (this.state === 'cutting' && waitMs > MAX_CALL_MS) {
      await this.connection.clock.wait(MAX_CALL_MS)
      return new Err(new PulleystackError('STORE_UNAVAILABLE', 'The connection was reset'))
    }
    return await this.check(waitMs + 700) ?? this.connection.shared.waitForChanges(prefix, after, waitMs, signal)
  }

  private async check (timeoutMs: number): Promise<Err<never, PulleystackError> | undefined> {
    const { name, clock, hub } = this.connection
    this.calls++
    const sentMs = hub.sendOnUplink(name, REQUEST_BYTES)
    if (sentMs > 0) await clock.wait(Math.min(sentMs, timeoutMs))
    if ((this.state === 'good' || this.state === 'cutting') && sentMs < timeoutMs) return undefined
    if (this.state === 'silent') await clock.wait(timeoutMs)
    return new Err(new PulleystackError('STORE_UNAVAILABLE', 'no answer'))
  }
}

export interface Node {
  name: string
  clock: ProcessClock
  path: StorePath
  feed: StoreFeed
  values: Map<string, unknown>
  /** Versions in the order in which changes were applied. */
  appliedVersions: number[]
  abort: AbortController
}

/** Several instances with one feed each that share one store and one fake network. */
export class FeedCluster {
  readonly clock = new ManualClock()
  readonly shared = new MemoryObjectStore({ clock: this.clock })
  readonly hub: FakeHub
  readonly nodes: Node[] = []
  private written = 0

  constructor (seed: number) {
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(seed) })
  }

  /** `offsetMs` is how far the instance's monotonic clock is ahead of the shared one; without `isClockKnown` peers don't know the offset. */
  start (name: string, { offsetMs = 0, isClockKnown = true, state = 'good' as PathState } = {}): Node {
    const { shared, hub } = this
    const clock = new ProcessClock(this.clock, offsetMs)
    hub.timeOffsets.set(name, isClockKnown ? offsetMs : undefined)
    const path = new StorePath({ name, clock, shared, hub })
    path.state = state
    const network = hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const values = new Map<string, unknown>()
    const appliedVersions: number[] = []
    const feed = new StoreFeed({
      clock,
      random: new RandomSource(7),
      store: path,
      network,
      log: new NullDecisionLog(),
      prefix: PREFIX,
      instance: name,
      minExpiryMs: MIN_EXPIRY_MS,
      listCandidates: () => this.listNames(),
      onListing: (objects) => replaceValues(values, objects),
      onChanges: (changes) => {
        for (const change of changes) {
          appliedVersions.push(change.version)
          if (change.value === undefined) values.delete(change.key)
          else values.set(change.key, change.value)
        }
      },
    })
    const node: Node = { name, clock, path, feed, values, appliedVersions, abort: new AbortController() }
    feed.start(node.abort.signal)
    this.nodes.push(node)
    return node
  }

  /** Writes an object with the next number, filled up with `bytes` characters if given, and returns the number. */
  async write (name: string, bytes?: number): Promise<number> {
    const key = `${PREFIX}${name}`
    const existing = (await this.shared.readObject(key))._unsafeUnwrap()
    const number = ++this.written
    await this.shared.writeObject(key, bytes === undefined ? number : { number, filling: 'x'.repeat(bytes) }, existing?.version ?? 0)
    return number
  }

  /** The number that a node has under a name; 0 if it has none. */
  readNumber (node: Node, name: string): number {
    const value = node.values.get(`${PREFIX}${name}`) as number | { number: number } | undefined
    return typeof value === 'object' ? value.number : value ?? 0
  }

  async findWatcher (): Promise<Node> {
    const before = this.nodes.map((node) => node.path.calls)
    await this.clock.advance(3_000)
    const calls = this.nodes.map((node, at) => node.path.calls - (before[at] ?? 0))
    return this.nodes[calls.indexOf(Math.max(...calls))] as Node
  }

  private listNames (): string[] {
    return this.nodes.filter((node) => !node.abort.signal.aborted).map((node) => node.name)
  }
}

function replaceValues (values: Map<string, unknown>, objects: readonly StoredObject[]): void {
  values.clear()
  for (const object of objects) values.set(object.key, object.value)
}
