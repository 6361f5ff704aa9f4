import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import type { RunnerTable } from '@pulleystack/routing.runners'

const DRAIN = defineChannel<{ server: string, item: string }, number>('placement.drain')

const CALL_TIMEOUT_MS = 1_000
// An instance resumes sending the item's requests if the drain is not repeated within this time.
const DRAIN_EXPIRY_MS = 20_000

export interface DrainOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  table: RunnerTable
}

/** Handles requests of other instances to drain items on this instance's runners. */
export function handleDrains (opts: DrainOptions): void {
  opts.network.handleCalls(DRAIN, (_, body) => drainLocally(opts, body.server, body.item))
}

/** Asks all instances to stop sending an item's requests to a server; returns the number in flight, undefined if one did not answer. */
export async function drainOnAllInstances (opts: DrainOptions, server: string, item: string): Promise<number | undefined> {
  const own = drainLocally(opts, server, item)
  // Leaving instances may still have requests in flight.
  const peers = opts.view.listMembers().filter((member) => member.state !== 'suspect' && member.instance !== opts.view.self.instance)
  const answers = await Promise.all(peers.map((peer) => opts.network.call(peer.instance, DRAIN, { server, item }, CALL_TIMEOUT_MS)))
  let sum = own
  for (const answer of answers) {
    if (answer.isErr()) return undefined
    sum += answer.value
  }
  return sum
}

function drainLocally (opts: DrainOptions, server: string, item: string): number {
  const runner = opts.table.findRunner(server)
  const now = opts.clock.readTime()
  runner?.clearExpiredDrains(now)
  return runner?.drain(item, now + DRAIN_EXPIRY_MS) ?? 0
}
