import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { Err, type Result } from 'neverthrow'
import fc from 'fast-check'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ChangeBatch, ObjectStore } from '@pulleystack/backend.interfaces'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { StoreFeed } from '../src/index.js'

const PREFIX = 'things/'
const NAMES = ['n1', 'n2', 'n3', 'n4', 'n5']
/** Bounds of the platform are two seconds and more. */
const IN_FORCE_MS = 1_900

/** One instance's way to the common store: it counts calls and can be cut or fail. */
class Path extends MemoryObjectStore {
  calls = 0
  state: 'good' | 'silent' | 'failing' = 'good'

  constructor (private readonly clock: ManualClock, private readonly shared: MemoryObjectStore) {
    super({ clock })
  }

  override async listObjects (prefix: string): ReturnType<ObjectStore['listObjects']> {
    return await this.check(1_500) ?? this.shared.listObjects(prefix)
  }

  override async waitForChanges (prefix: string, after: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    return await this.check(waitMs + 700) ?? this.shared.waitForChanges(prefix, after, waitMs, signal)
  }

  private async check (timeoutMs: number): Promise<Err<never, PulleystackError> | undefined> {
    this.calls++
    if (this.state === 'good') return undefined
    if (this.state === 'silent') await this.clock.wait(timeoutMs)
    return new Err(new PulleystackError('STORE_UNAVAILABLE', 'no answer'))
  }
}

interface Node {
  name: string
  path: Path
  values: Map<string, unknown>
  /** Revisions in the order in which changes were taken. */
  taken: number[]
  ended: AbortController
}

describe('a feed of the store over several instances', () => {
  let clock: ManualClock
  let shared: MemoryObjectStore
  let hub: FakeHub
  let nodes: Node[]
  let written = 0

  const listNames = (): string[] => nodes.filter((node) => !node.ended.signal.aborted).map((node) => node.name)
  const start = (name: string): Node => {
    const node: Node = { name, path: new Path(clock, shared), values: new Map(), taken: [], ended: new AbortController() }
    const network = hub.createNode({ instance: name, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const feed = new StoreFeed({
      clock,
      random: new RandomSource(7),
      store: node.path,
      network,
      log: new SilentDecisionLog(),
      prefix: PREFIX,
      instance: name,
      listCandidates: listNames,
      onListing: (objects) => {
        node.values.clear()
        for (const object of objects) node.values.set(object.key, object.value)
      },
      onChanges: (changes) => {
        for (const change of changes) {
          node.taken.push(change.version)
          if (change.value === undefined) node.values.delete(change.key)
          else node.values.set(change.key, change.value)
        }
      },
    })
    feed.start(node.ended.signal)
    return node
  }
  const write = async (name: string): Promise<number> => {
    const key = `${PREFIX}${name}`
    const standing = (await shared.readObject(key))._unsafeUnwrap()
    written++
    await shared.writeObject(key, written, standing?.version ?? 0)
    return written
  }
  const findWatcher = async (): Promise<Node> => {
    const before = nodes.map((node) => node.path.calls)
    await clock.advance(3_000)
    const calls = nodes.map((node, at) => node.path.calls - (before[at] ?? 0))
    return nodes[calls.indexOf(Math.max(...calls))] as Node
  }

  beforeEach(async () => {
    clock = new ManualClock()
    shared = new MemoryObjectStore({ clock })
    hub = new FakeHub({ clock, random: new RandomSource(3) })
    nodes = []
    for (const name of NAMES) nodes.push(start(name))
    await clock.advance(3_000)
  })

  it('is asked for by one instance only while all is well', async () => {
    const before = nodes.map((node) => node.path.calls)
    await clock.advance(10_000)
    const asking = nodes.filter((node, at) => node.path.calls > (before[at] ?? 0))
    assert.equal(asking.length, 1)
  })

  it('has every change in force on all instances in a fraction of a second', async () => {
    const value = await write('x')
    await clock.advance(200)
    assert.deepEqual(nodes.map((node) => node.values.get(`${PREFIX}x`)), NAMES.map(() => value))
  })

  for (const state of ['silent', 'failing'] as const) {
    it(`has changes in force within the bound when the watcher's path to the store is ${state}`, async () => {
      const watcher = await findWatcher()
      watcher.path.state = state
      for (let round = 0; round < 6; round++) {
        const value = await write('x')
        await clock.advance(IN_FORCE_MS)
        for (const node of nodes) if (node !== watcher) assert.equal(node.values.get(`${PREFIX}x`), value, `${node.name} in round ${round}`)
      }
    })
  }

  it('has changes in force within the bound when the watcher dies', async () => {
    const watcher = await findWatcher()
    watcher.ended.abort()
    hub.removeNode(watcher.name)
    const value = await write('x')
    await clock.advance(IN_FORCE_MS)
    for (const node of nodes) if (node !== watcher) assert.equal(node.values.get(`${PREFIX}x`), value)
  })

  it('has changes in force within the bound on an instance that no other reaches', async () => {
    const watcher = await findWatcher()
    const alone = nodes.find((node) => node !== watcher) as Node
    for (const node of nodes) if (node !== alone) hub.cut(alone.name, node.name)
    const value = await write('x')
    await clock.advance(IN_FORCE_MS)
    assert.equal(alone.values.get(`${PREFIX}x`), value)
  })

  it('is given by a peer to an instance that starts while the store is away', async () => {
    const value = await write('x')
    await clock.advance(500)
    for (const node of nodes) node.path.state = 'failing'
    const last = nodes[4] as Node
    last.ended.abort()
    hub.removeNode(last.name)
    const fresh = start('n6')
    fresh.path.state = 'failing'
    nodes.push(fresh)
    await clock.advance(2_000)
    assert.equal(fresh.values.get(`${PREFIX}x`), value)
  })

  it('never goes back and ends alike, whatever is lost, repeated, overtaken or cut', async () => {
    const step = fc.record({ kind: fc.constantFrom('write', 'cut', 'heal', 'silent', 'good', 'compact', 'pass'), node: fc.nat(4), other: fc.nat(4) })
    await fc.assert(fc.asyncProperty(fc.array(step, { minLength: 5, maxLength: 30 }), fc.integer(), async (steps, seed) => {
      clock = new ManualClock()
      shared = new MemoryObjectStore({ clock })
      hub = new FakeHub({ clock, random: new RandomSource(seed) })
      hub.lossShare = 0.2
      hub.repeatShare = 0.2
      hub.maxDelayMs = 300
      nodes = []
      for (const name of NAMES) nodes.push(start(name))
      for (const { kind, node, other } of steps) {
        if (kind === 'write') await write(`k${node}`)
        else if (kind === 'cut') hub.cut(NAMES[node] as string, NAMES[other] as string)
        else if (kind === 'heal') hub.healAll()
        else if (kind === 'compact') shared.compact()
        else if (kind === 'silent' || kind === 'good') (nodes[node] as Node).path.state = kind
        await clock.advance(250)
      }
      for (const node of nodes) node.path.state = 'good'
      await clock.advance(5_000)
      const truth = (await shared.listObjects(PREFIX))._unsafeUnwrap().objects.map((object) => [object.key, object.value]).sort()
      for (const node of nodes) {
        assert.deepEqual([...node.values].sort(), truth)
        assert.deepEqual(node.taken, [...node.taken].sort((a, b) => a - b))
        node.ended.abort()
      }
    }), { numRuns: 15, seed: 11 })
  })
})
