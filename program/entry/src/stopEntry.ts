import { waitForReads } from '@pulleystack/core.listeners'
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
 * Stops an instance as planned: removes it from the address list, keeps serving clients with an old list, with responses that end their connections,
 * rejects requests that could not finish in time, closes the port and idle connections once everything that has arrived was read, and at the end cancels
 * the unfinished requests, with a response that leaves open whether they ran. Resolves with the number of requests that got no response.
 */
export async function stopEntry (entry: Entry, listener: ClientListener): Promise<number> {
  const { clock, gateway, settings } = entry
  const plan = new StopPlan({ startedAt: clock.readTime(), graceMs: settings.bounds.graceMs, directoryLifetimeMs: settings.directoryLifetimeMs })
  entry.log.record(DecisionKinds.STOPPING, { inFlight: gateway.inFlight, open: listener.openConnections })
  entry.leave(plan)
  void entry.residency.stop()
  await clock.wait(plan.waitsUntil - clock.readTime())
  entry.queue.close()
  await waitForReads()
  listener.closeIdle()
  await clock.wait(plan.servesUntil - clock.readTime())
  entry.setPhase(EntryPhases.ENDING)
  await listener.closePort()
  await waitUntilDone(entry, listener, plan.endsAt)
  // What arrived while the process was held up is rejected, rather than cut off unread.
  await waitForReads()
  recordUnfinished(entry, 'cancel')
  const cancelled = gateway.cancelAll()
  await waitUntilDone(entry, listener, plan.endsAt + FLUSH_PERIOD_MS)
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

/** Waits until all requests are answered and all connections have ended; closes those that have become idle. */
async function waitUntilDone ({ clock, gateway }: Entry, listener: ClientListener, deadline: number): Promise<void> {
  for (;;) {
    await waitForReads()
    listener.closeIdle()
    if (gateway.inFlight === 0 && listener.openConnections === 0) return
    if (clock.readTime() >= deadline) return
    await clock.wait(POLL_INTERVAL_MS)
  }
}
