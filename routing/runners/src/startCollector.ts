import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type EngineClient, type EngineReport, type ListedInstance, type ResidentItem } from '@pulleystack/platform.interfaces'
import equal from 'fast-deep-equal'
import type { RunnerTable } from './RunnerTable.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

/** Reports that a collector passes on to the instances that serve the engine's models. */
export const RUNNER_UPDATES = defineChannel<RunnerUpdate>('runners.update')

const REVIEW_MS = 250
const MAX_BACKOFF_MS = 2_000
// Every so many reports the items go along though nothing changed, for peers that missed one.
const FULL_EVERY = 8

export interface CollectorOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  engines: EngineClient
  table: RunnerTable
  /** Instances that want an engine's reports. */
  listInterested: (server: ListedInstance, items: readonly ResidentItem[]) => string[]
  /** Milliseconds between two reports of one engine. */
  reportWaitMs: number
  /** Every report as it comes, for placement. */
  onReport?: (server: ListedInstance, report: EngineReport) => void
}

/** Collects the reports of the engines that fall to this instance, one task for each, until the signal ends. */
export function startCollector (opts: CollectorOptions, signal: AbortSignal): void {
  const { view, network, table, clock } = opts
  const subscriptions = [
    network.receive(RUNNER_UPDATES).subscribe(({ body }) => table.applyUpdate(body, clock.readTime())),
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
      void collectFrom(opts, server, task.signal)
    }
    await opts.clock.wait(REVIEW_MS, signal)
  }
}

function isCollected (opts: CollectorOptions, server: ListedInstance): boolean {
  return server.role === InstanceRoles.ENGINE && opts.view.isOwner(`collect/${server.id}`)
}

/** The task of one engine: ask for a report, pass it on, again. */
async function collectFrom (opts: CollectorOptions, server: ListedInstance, signal: AbortSignal): Promise<void> {
  let seq = 0
  let count = 0
  let items: ResidentItem[] = []
  let backoff = opts.reportWaitMs
  while (!signal.aborted) {
    const report = await opts.engines.readReport(server.address, seq, opts.reportWaitMs, signal)
    if (signal.aborted) return
    if (report.isErr()) {
      await opts.clock.wait(backoff, signal)
      backoff = Math.min(MAX_BACKOFF_MS, backoff * 2)
      continue
    }
    backoff = opts.reportWaitMs
    const changed = !equal(items, report.value.items)
    seq = report.value.seq
    items = report.value.items
    passOn(opts, server, report.value, changed || count++ % FULL_EVERY === 0)
  }
}

function passOn (opts: CollectorOptions, server: ListedInstance, report: EngineReport, withItems: boolean): void {
  const { life, seq, ageMs, running, waiting, slots, freeBytes, items, cacheEvents, cacheSeq } = report
  const update: RunnerUpdate = { server: server.id, life, seq, ageMs, running, waiting, slots, freeBytes, cacheEvents, cacheSeq }
  opts.onReport?.(server, report)
  opts.table.applyUpdate({ ...update, items }, opts.clock.readTime())
  if (withItems) update.items = items
  for (const peer of opts.listInterested(server, items)) {
    if (peer !== opts.view.self.instance) opts.network.send(peer, RUNNER_UPDATES, update)
  }
}
