import type { StoreFeed } from '@pulleystack/config.feed'
import type { RouteTable } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { BackendQueue, PeerForwarder } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { Quarantine } from '@pulleystack/routing.quarantine'
import { DecisionKinds, type WatchedDecisionLog } from '@pulleystack/timeline.decisions'
import { addOrderMetrics } from './addOrderMetrics.js'
import { listPaces } from './listPaces.js'
import { EntryMetrics } from './EntryMetrics.js'
import type { EntryParts } from './EntryParts.js'
import { TimerDelay } from './TimerDelay.js'

/** Sources of an entry instance's metrics. */
export interface MetricsParts extends EntryParts {
  log: WatchedDecisionLog
  fleet: BackendFleet
  policy: Policy
  mesh: InstanceMesh
  network: WebSocketNetwork
  readTable: () => RouteTable | undefined
  queue: Pick<BackendQueue, 'size'>
  quarantine: Pick<Quarantine, 'size'>
  forwarder: Pick<PeerForwarder, 'forwardedAttempts'>
  listReplicas: () => readonly StoreFeed[]
  signal: AbortSignal
}

/** Creates the metrics and samples the timer delay until the signal is aborted. */
export function createMetrics (parts: MetricsParts): EntryMetrics {
  const { settings, clock, log, deps, fleet, mesh, network, readTable, queue, quarantine, forwarder, listReplicas, signal } = parts
  const timerDelay = new TimerDelay(clock, (ms) => log.record(DecisionKinds.EVENT_LOOP_DELAYED, { ms: Math.round(ms) }))
  timerDelay.start(signal)
  const metrics = new EntryMetrics({
    fleet,
    mesh,
    network,
    epochs: deps.store.epochs,
    readConfigVersion: () => readTable()?.config.version ?? 0,
    countWaiting: () => queue.size,
    countSuspects: () => quarantine.size,
    countForwarded: () => forwarder.forwardedAttempts,
    listReplicas,
    readTimerDelayMs: () => timerDelay.longestMs,
    readTime: () => clock.readTime(),
    listPaces: () => listPaces(parts),
  })
  addOrderMetrics(metrics.registry, { clock, log, defaultHoldOffMs: settings.bounds.leaseMs })
  return metrics
}
