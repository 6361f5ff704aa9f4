import { DecisionKinds } from '@pulleystack/timeline.decisions'
import type { ClientListener } from './listenForClients.js'
import { EntryPhases, type Entry } from './startEntry.js'
import { StopPlan } from './StopPlan.js'

const POLL_INTERVAL_MS = 50
/** Milliseconds in which last answers leave; the process ends 300 ms after they are given (see `LAST_MS` of the plan and the adapter). */
const FLUSH_PERIOD_MS = 150
/** Requests that are logged one by one at each moment of a stop; more would take processor time from the last answers. */
const MAX_LOGGED_REQUESTS = 20

/**
 * Planned stop: leaves the list of addresses at once, goes on serving those who still come, refuses what could not be
 * finished any more, and resolves when nothing is in hand and all answers have left, or the time is over; gives the number of requests cut without an
 * answer. What its backend server has not answered by then gets an answer that promises nothing.
 */
export async function stopEntry (entry: Entry, listener: ClientListener): Promise<number> {
  const { clock, gateway, settings } = entry
  const plan = new StopPlan({ startedAt: clock.readTime(), graceMs: settings.bounds.graceMs, directoryLifetimeMs: settings.directoryLifetimeMs })
  entry.log.record(DecisionKinds.STOPPING, { inFlight: gateway.inFlight })
  entry.leave(plan)
  void entry.residency.stop()
  listener.closeIdle()
  await clock.wait(plan.waitsUntil - clock.readTime())
  entry.queue.close()
  await clock.wait(plan.servesUntil - clock.readTime())
  entry.setPhase(EntryPhases.ENDING)
  await waitUntilDone(entry, plan.endsAt)
  recordUnfinished(entry, 'cancel')
  const cancelled = gateway.cancelAll()
  await waitUntilDone(entry, plan.endsAt + FLUSH_PERIOD_MS)
  recordUnfinished(entry, 'exit')
  const unanswered = gateway.inFlight
  entry.log.record(DecisionKinds.STOPPED, { cut: unanswered, cancelled, ms: Math.round(clock.readTime() - plan.startedAt) })
  entry.ended.abort()
  listener.close()
  await entry.network.stop()
  return unanswered
}

function recordUnfinished (entry: Entry, moment: 'cancel' | 'exit'): void {
  for (const facts of entry.gateway.listUnfinished(MAX_LOGGED_REQUESTS)) entry.log.record(DecisionKinds.REQUEST_AT_STOP, { moment, ...facts })
}

async function waitUntilDone (entry: Entry, deadline: number): Promise<void> {
  while (entry.gateway.inFlight > 0 && entry.clock.readTime() < deadline) await entry.clock.wait(POLL_INTERVAL_MS)
}
