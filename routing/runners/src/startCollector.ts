import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type EngineClient, type EngineReport, type ListedInstance, type ResidentItem } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'
import { packUpdate, unpackUpdate, type PackedUpdate } from './packUpdate.js'
import type { RunnerTable } from './RunnerTable.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

/** Reports that a collector passes on to the instances that serve the engine's models. */
export const RUNNER_UPDATES = defineChannel<PackedUpdate>('runners.update')

const REVIEW_MS = 250
const MAX_BACKOFF_MS = 2_000
// After this time the items go along though nothing changed, for peers that missed them.
const FULL_MS = 10_000
// Beyond a few, each engine makes the time between reports longer, so that collecting costs the same however many there are.
const ENGINES_AT_FULL_PACE = 8
const EVERY_MS_PER_ENGINE = 150

export interface CollectorOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  engines: EngineClient
  table: RunnerTable
  /** Instances that want an engine's reports. */
  listInterested: (server: ListedInstance, items: readonly ResidentItem[]) => string[]
  /** Least milliseconds between two reports of one engine. */
  reportWaitMs: number
}

/** Collects the reports of the engines that fall to this instance, one task for each, until the signal ends. */
export function startCollector (opts: CollectorOptions, signal: AbortSignal): void {
  const { view, network, table, clock } = opts
  const subscriptions = [
    network.receive(RUNNER_UPDATES).subscribe(({ body }) => table.applyUpdate(unpackUpdate(body), clock.readTime())),
    view.serverChanges.subscribe(() => table.applyServers(view.listServers(), clock.readTime())),
  ]
  table.applyServers(view.listServers(), clock.readTime())
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  void keepAssigning(opts, signal)
}

async function keepAssigning (opts: CollectorOptions, signal: AbortSignal): Promise<void> {
  const tasks = new Map<string, AbortController>()
  signal.addEventListener('abort', () => tasks.forEach((task) => task.abort()))
  while (!signal.aborted) {
    const own = new Map(opts.view.listServers().filter((server) => isCollected(opts, server)).map((server) => [server.id, server]))
    for (const [id, task] of tasks) {
      if (own.has(id)) continue
      task.abort()
      tasks.delete(id)
    }
    for (const [id, server] of own) {
      if (tasks.has(id)) continue
      const task = new AbortController()
      tasks.set(id, task)
      void collectFrom(opts, server, () => Math.max(opts.reportWaitMs, (tasks.size - ENGINES_AT_FULL_PACE) * EVERY_MS_PER_ENGINE), task.signal)
    }
    await opts.clock.wait(REVIEW_MS, signal)
  }
}

function isCollected (opts: CollectorOptions, server: ListedInstance): boolean {
  return server.role === InstanceRoles.ENGINE && opts.view.isOwner(`collect/${server.id}`)
}

/** What was last passed on about one engine. */
interface Passed {
  items: ResidentItem[]
  fullAt: number
  peers: ReadonlySet<string>
}

/** The task of one engine: ask for a report, pass it on, again. */
async function collectFrom (opts: CollectorOptions, server: ListedInstance, getEveryMs: () => number, signal: AbortSignal): Promise<void> {
  let seq = 0
  let passed: Passed = { items: [], fullAt: -Infinity, peers: new Set() }
  let backoff = opts.reportWaitMs
  while (!signal.aborted) {
    const everyMs = getEveryMs()
    const report = await opts.engines.readReport(server.address, seq, everyMs, signal)
    if (signal.aborted) return
    if (report.isErr()) {
      await opts.clock.wait(backoff, signal)
      backoff = Math.min(MAX_BACKOFF_MS, backoff * 2)
      continue
    }
    backoff = opts.reportWaitMs
    seq = report.value.seq
    passed = passOn(opts, server, report.value, everyMs, passed)
  }
}

/** Passes a report on; items only when they changed, for peers that are new to this engine, and now and then. */
function passOn (opts: CollectorOptions, server: ListedInstance, report: EngineReport, everyMs: number, passed: Passed): Passed {
  const { life, seq, ageMs, running, waiting, slots, freeBytes, items, cacheEvents, cacheSeq } = report
  const now = opts.clock.readTime()
  const update: RunnerUpdate = { server: server.id, life, seq, everyMs, ageMs, running, waiting, slots, freeBytes, cacheEvents, cacheSeq }
  opts.table.applyUpdate({ ...update, items }, now)
  const isFull = now - passed.fullAt > FULL_MS || !equal(items, passed.items)
  const peers = new Set(opts.listInterested(server, items).filter((peer) => peer !== opts.view.self.instance))
  const whole = packUpdate({ ...update, items })
  const short = packUpdate(update)
  for (const peer of peers) opts.network.send(peer, RUNNER_UPDATES, isFull || !passed.peers.has(peer) ? whole : short)
  return { items, fullAt: isFull ? now : passed.fullAt, peers }
}
