import type { ChangeBatch, ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import { Clock, ManualClock, RandomSource, type CancelTimer } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { Err, type Result } from 'neverthrow'
import { StoreFeed } from '../src/index.js'

export const PREFIX = 'things/'
/** Bounds of the platform are two seconds and more. */
export const IN_FORCE_MS = 1_900
/** What a call puts on the uplink: a request's head. */
const REQUEST_BYTES = 300

/** The clock of one process, which can be stopped; what was due meanwhile runs when it goes on. */
class ProcessClock extends Clock {
  private isFrozen = false
  private due: (() => void)[] = []

  /** `offsetMs`: how far it is ahead of the common clock. */
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
      if (this.isFrozen) this.due.push(run)
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

  thaw (): void {
    this.isFrozen = false
    for (const run of this.due.splice(0)) run()
  }
}

type PathState = 'good' | 'silent' | 'failing'

/** One instance's way to the common store, on its uplink: it counts calls and can be cut or fail. */
class Path extends MemoryObjectStore {
  calls = 0
  state: PathState = 'good'

  constructor (private readonly way: { name: string, clock: Clock, shared: MemoryObjectStore, hub: FakeHub }) {
    super({ clock: way.clock })
  }

  override async listObjects (prefix: string): ReturnType<ObjectStore['listObjects']> {
    return await this.check(1_500) ?? this.way.shared.listObjects(prefix)
  }

  override async waitForChanges (prefix: string, after: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    return await this.check(waitMs + 700) ?? this.way.shared.waitForChanges(prefix, after, waitMs, signal)
  }

  private async check (timeoutMs: number): Promise<Err<never, PulleystackError> | undefined> {
    const { name, clock, hub } = this.way
    this.calls++
    const sentMs = hub.putOnUplink(name, REQUEST_BYTES)
    if (sentMs > 0) await clock.wait(Math.min(sentMs, timeoutMs))
    if (this.state === 'good' && sentMs < timeoutMs) return undefined
    if (this.state === 'silent') await clock.wait(timeoutMs)
    return new Err(new PulleystackError('STORE_UNAVAILABLE', 'no answer'))
  }
}

/** One instance under test. */
export interface Node {
  name: string
  clock: ProcessClock
  path: Path
  feed: StoreFeed
  values: Map<string, unknown>
  /** Revisions in the order in which changes were taken. */
  taken: number[]
  ended: AbortController
}

/** Several instances with one feed each, over one store and one fake network. */
export class FeedBench {
  readonly clock = new ManualClock()
  readonly shared = new MemoryObjectStore({ clock: this.clock })
  readonly hub: FakeHub
  readonly nodes: Node[] = []
  private written = 0

  constructor (seed: number) {
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(seed) })
  }

  /** `offsetMs` is how far the instance's monotone clock is ahead of the common one; without `isClockKnown` peers don't know it. */
  start (name: string, { offsetMs = 0, isClockKnown = true, state = 'good' as PathState } = {}): Node {
    const { shared, hub } = this
    const clock = new ProcessClock(this.clock, offsetMs)
    hub.timeOffsets.set(name, isClockKnown ? offsetMs : undefined)
    const path = new Path({ name, clock, shared, hub })
    path.state = state
    const network = hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const values = new Map<string, unknown>()
    const taken: number[] = []
    const feed = new StoreFeed({
      clock,
      random: new RandomSource(7),
      store: path,
      network,
      log: new SilentDecisionLog(),
      prefix: PREFIX,
      instance: name,
      listCandidates: () => this.listNames(),
      onListing: (objects) => replaceValues(values, objects),
      onChanges: (changes) => {
        for (const change of changes) {
          taken.push(change.version)
          if (change.value === undefined) values.delete(change.key)
          else values.set(change.key, change.value)
        }
      },
    })
    const node: Node = { name, clock, path, feed, values, taken, ended: new AbortController() }
    feed.start(node.ended.signal)
    this.nodes.push(node)
    return node
  }

  /** Writes the next number, in an object that is as large as asked for; gives the number. */
  async write (name: string, bytes?: number): Promise<number> {
    const key = `${PREFIX}${name}`
    const standing = (await this.shared.readObject(key))._unsafeUnwrap()
    const number = ++this.written
    await this.shared.writeObject(key, bytes === undefined ? number : { number, filling: 'x'.repeat(bytes) }, standing?.version ?? 0)
    return number
  }

  /** The newest number that a node has under a name; 0 when it has none. */
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
    return this.nodes.filter((node) => !node.ended.signal.aborted).map((node) => node.name)
  }
}

function replaceValues (values: Map<string, unknown>, objects: readonly StoredObject[]): void {
  values.clear()
  for (const object of objects) values.set(object.key, object.value)
}
