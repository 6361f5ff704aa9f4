import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type EngineClient, type EngineReport, type ListedInstance, type ResidentItem } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'
import { packUpdate, unpackUpdate, type PackedUpdate } from './packUpdate.js'
import type { RunnerTable } from './RunnerTable.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

/** Reports relayed by a collector to the instances that serve the engine's models. */
export const RUNNER_UPDATES = defineChannel<PackedUpdate>('runners.update')

const ASSIGNMENT_INTERVAL_MS = 250
const MAX_BACKOFF_MS = 2_000
// Unchanged items are sent again after this time, for peers that missed them.
const FULL_UPDATE_INTERVAL_MS = 10_000
// Beyond this number, the interval grows with the number of engines, which bounds the cost of collecting.
const ENGINES_AT_MIN_INTERVAL = 8
const EXTRA_INTERVAL_MS_PER_ENGINE = 150

export interface CollectorOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  engines: EngineClient
  table: RunnerTable
  /** Returns the instances to which an engine's reports are relayed. */
  listSubscribers: (server: ListedInstance, items: readonly ResidentItem[]) => string[]
  /** Minimum milliseconds between two reports of one engine. */
  reportWaitMs: number
}

/** Collects reports of the engines assigned to this instance, with one task per engine, until the signal aborts. */
export function startCollector (opts: CollectorOptions, signal: AbortSignal): void {
  const { view, network, table, clock } = opts
  const subscriptions = [
    network.receive(RUNNER_UPDATES).subscribe(({ body }) => table.applyUpdate(unpackUpdate(body), clock.readTime())),
    view.serverChanges.subscribe(() => table.applyServers(view.listServers(), clock.readTime())),
  ]
  table.applyServers(view.listServers(), clock.readTime())
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  void runAssignment(opts, signal)
}

async function runAssignment (opts: CollectorOptions, signal: AbortSignal): Promise<void> {
  const tasks = new Map<string, AbortController>()
  signal.addEventListener('abort', () => tasks.forEach((task) => task.abort()))
  while (!signal.aborted) {
    const assigned = new Map(opts.view.listServers().filter((server) => isAssigned(opts, server)).map((server) => [server.id, server]))
    for (const [id, task] of tasks) {
      if (assigned.has(id)) continue
      task.abort()
      tasks.delete(id)
    }
    for (const [id, server] of assigned) {
      if (tasks.has(id)) continue
      const task = new AbortController()
      tasks.set(id, task)
      void collectReports(opts, server, () => Math.max(opts.reportWaitMs, (tasks.size - ENGINES_AT_MIN_INTERVAL) * EXTRA_INTERVAL_MS_PER_ENGINE), task.signal)
    }
    await opts.clock.wait(ASSIGNMENT_INTERVAL_MS, signal)
  }
}

function isAssigned (opts: CollectorOptions, server: ListedInstance): boolean {
  return server.role === InstanceRoles.ENGINE && opts.view.isOwner(`collect/${server.id}`)
}

/** What was last relayed about one engine. */
interface RelayState {
  items: ResidentItem[]
  fullUpdateAt: number
  peers: ReadonlySet<string>
}

/** Reads and relays the reports of one engine until the signal aborts. */
async function collectReports (opts: CollectorOptions, server: ListedInstance, getIntervalMs: () => number, signal: AbortSignal): Promise<void> {
  let seq = 0
  let relayState: RelayState = { items: [], fullUpdateAt: -Infinity, peers: new Set() }
  let backoffMs = opts.reportWaitMs
  while (!signal.aborted) {
    const intervalMs = getIntervalMs()
    const report = await opts.engines.readReport(server.address, seq, intervalMs, signal)
    if (signal.aborted) return
    if (report.isErr()) {
      await opts.clock.wait(backoffMs, signal)
      backoffMs = Math.min(MAX_BACKOFF_MS, backoffMs * 2)
      continue
    }
    backoffMs = opts.reportWaitMs
    seq = report.value.seq
    relayState = relayReport(opts, server, report.value, intervalMs, relayState)
  }
}

/** Relays a report. Items are included when they changed, for new peers, and at regular intervals. */
function relayReport (opts: CollectorOptions, server: ListedInstance, report: EngineReport, intervalMs: number, previous: RelayState): RelayState {
  const { life, seq, ageMs, running, waiting, slots, freeBytes, items, cacheEvents, cacheSeq } = report
  const now = opts.clock.readTime()
  const update: RunnerUpdate = { server: server.id, life, seq, everyMs: intervalMs, ageMs, running, waiting, slots, freeBytes, cacheEvents, cacheSeq }
  opts.table.applyUpdate({ ...update, items }, now)
  const isFullUpdateDue = now - previous.fullUpdateAt > FULL_UPDATE_INTERVAL_MS || !equal(items, previous.items)
  const peers = new Set(opts.listSubscribers(server, items).filter((peer) => peer !== opts.view.self.instance))
  const fullUpdate = packUpdate({ ...update, items })
  const shortUpdate = packUpdate(update)
  for (const peer of peers) opts.network.send(peer, RUNNER_UPDATES, isFullUpdateDue || !previous.peers.has(peer) ? fullUpdate : shortUpdate)
  return { items, fullUpdateAt: isFullUpdateDue ? now : previous.fullUpdateAt, peers }
}
