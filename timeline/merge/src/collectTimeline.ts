import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { EventRing, TimelineEvent } from '@pulleystack/timeline.events'
import { matchFilter, mergeEvents, type TimelineFilter } from './mergeEvents.js'

const TIMELINE_CHANNEL = defineChannel<TimelineFilter, TimelineEvent[]>('timeline.events')

const CALL_TIMEOUT_MS = 2_000
const MAX_EVENTS = 5_000

/** Answers peers that request this instance's events. */
export function handleTimelineCalls (network: PeerNetwork, ring: EventRing): void {
  network.handleCalls(TIMELINE_CHANNEL, (_, filter) => ring.list((event) => matchFilter(event, filter)).slice(-MAX_EVENTS))
}

/** Merges the events of this instance with those of all peers that respond in time. */
export async function collectTimeline (
  opts: { network: PeerNetwork, ring: EventRing, peers: readonly string[] },
  filter: TimelineFilter,
): Promise<TimelineEvent[]> {
  const own = { events: opts.ring.list((event) => matchFilter(event, filter)), offsetMs: 0 }
  const others = await Promise.all(opts.peers.map(async (peer) => {
    const answer = await opts.network.call(peer, TIMELINE_CHANNEL, filter, CALL_TIMEOUT_MS)
    return { events: answer.isOk() ? answer.value : [], offsetMs: opts.network.getClockOffset(peer) }
  }))
  return mergeEvents([own, ...others], filter.limit)
}
