import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { findBudget, type ByteBudget } from './ByteBudget.js'
import { SNAPSHOT, type FeedSnapshot } from './channels.js'
import type { FeedCopy } from './FeedCopy.js'

/** What a feed offers to peers. */
export interface OfferedCopy {
  prefix: string
  copy: FeedCopy
  readFreshAt: () => number
}

const offeredCopies = new WeakMap<PeerNetwork, Map<string, OfferedCopy>>()

/**
 * Answers peers that ask for a copy, within a budget; who gets nothing asks another peer, or again. A channel has one
 * handler, which serves the feeds of all prefixes.
 */
export function answerSnapshots (clock: Clock, network: PeerNetwork, offered: OfferedCopy): void {
  const present = offeredCopies.get(network)
  if (present) {
    present.set(offered.prefix, offered)
    return
  }
  const copies = new Map([[offered.prefix, offered]])
  offeredCopies.set(network, copies)
  const budget = findBudget(clock, network)
  network.handleCalls(SNAPSHOT, (_, { prefix, after }) => {
    const asked = copies.get(prefix)
    return asked && buildSnapshot(asked, after, budget)
  })
}

function buildSnapshot ({ copy, readFreshAt }: OfferedCopy, after: number, budget: ByteBudget): FeedSnapshot | undefined {
  if (copy.revision === undefined || copy.revision <= after || !budget.tryOwe(copy.bytes)) return undefined
  return { revision: copy.revision, objects: copy.list(), knownAt: readFreshAt() }
}
