import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import type { RunnerTable } from '@pulleystack/routing.runners'

const DRAIN = defineChannel<{ server: string, item: string }, number>('placement.drain')

const CALL_TIMEOUT_MS = 1_000
// Without a repeated request an instance takes up the item again after this time.
const DRAIN_MS = 20_000

export interface DrainOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  table: RunnerTable
}

/** Lets peers drain items on this instance's runners. */
export function answerDrains (opts: DrainOptions): void {
  opts.network.handleCalls(DRAIN, (_, body) => drainHere(opts, body.server, body.item))
}

/** Asks every instance to send an item on a server no more work; gives the requests still there, undefined when one did not answer. */
export async function drainEverywhere (opts: DrainOptions, server: string, item: string): Promise<number | undefined> {
  const own = drainHere(opts, server, item)
  // Instances that are stopping may still have requests there.
  const peers = opts.view.listMembers().filter((member) => member.state !== 'suspect' && member.instance !== opts.view.self.instance)
  const answers = await Promise.all(peers.map((peer) => opts.network.call(peer.instance, DRAIN, { server, item }, CALL_TIMEOUT_MS)))
  let sum = own
  for (const answer of answers) {
    if (answer.isErr()) return undefined
    sum += answer.value
  }
  return sum
}

function drainHere (opts: DrainOptions, server: string, item: string): number {
  const runner = opts.table.findRunner(server)
  const now = opts.clock.readTime()
  runner?.endDrains(now)
  return runner?.drain(item, now + DRAIN_MS) ?? 0
}
