import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { findOrCreateBudget, type ByteBudget } from './ByteBudget.js'
import { SNAPSHOT, type FeedSnapshot } from './channels.js'
import type { FeedReplica } from './FeedReplica.js'

/** A replica that peers may request. */
export interface ServedReplica {
  prefix: string
  replica: FeedReplica
  readFreshAt: () => number
}

const servedReplicas = new WeakMap<PeerNetwork, Map<string, ServedReplica>>()

/**
 * Serves snapshots of a replica to peers within the instance's byte budget; beyond it the response is empty. The feeds of all prefixes share one
 * handler because a channel has only one.
 */
export function serveSnapshots (clock: Clock, network: PeerNetwork, served: ServedReplica): void {
  const existing = servedReplicas.get(network)
  if (existing) {
    existing.set(served.prefix, served)
    return
  }
  const replicas = new Map([[served.prefix, served]])
  servedReplicas.set(network, replicas)
  const budget = findOrCreateBudget(clock, network)
  network.handleCalls(SNAPSHOT, (_, { prefix, after }) => {
    const requested = replicas.get(prefix)
    return requested && buildSnapshot(requested, after, budget)
  })
}

function buildSnapshot ({ replica, readFreshAt }: ServedReplica, after: number, budget: ByteBudget): FeedSnapshot | undefined {
  if (replica.revision === undefined || replica.revision <= after || !budget.tryOverdraw(replica.bytes)) return undefined
  return { revision: replica.revision, objects: replica.list(), knownAt: readFreshAt() }
}
