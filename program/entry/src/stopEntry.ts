import { DecisionKinds } from '@pulleystack/timeline.decisions'
import type { ClientListener } from './listenForClients.js'
import { EntryPhases, type Entry } from './startEntry.js'
import { StopPlan } from './StopPlan.js'

const POLL_INTERVAL_MS = 50
/** Time to send the last responses; must be shorter than the time from `StopPlan.endsAt` to the exit of the process, which is 300 ms. */
const FLUSH_PERIOD_MS = 150
/** Maximum number of unfinished requests that are logged individually at each step of a stop. */
const MAX_LOGGED_REQUESTS = 20

/**
 * Stops an instance as planned: removes it from the address list, keeps serving clients with an old list, rejects requests that could not finish in
 * time, and at the end cancels the unfinished ones, with a response that leaves open whether they ran. Resolves with the number of requests that got
 * no response.
 */
export async function stopEntry (entry: Entry, listener: ClientListener): Promise<number> {
  const { clock, gateway, settings } = entry
  const plan = new StopPlan({ startedAt: clock.readTime(), graceMs: settings.bounds.graceMs, directoryLifetimeMs: settings.directoryLifetimeMs })
  entry.log.record(DecisionKinds.STOPPING, { inFlight: gateway.inFlight, open: listener.openConnections })
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
  entry.log.record(DecisionKinds.STOPPED, { cut: unanswered, cancelled, ms: Math.round(clock.readTime() - plan.startedAt), open: listener.openConnections })
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
