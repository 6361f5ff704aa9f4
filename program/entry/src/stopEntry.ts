import { DecisionKinds } from '@pulleystack/timeline.decisions'
import type { ClientListener } from './listenForClients.js'
import { EntryPhases, type Entry } from './startEntry.js'
import { StopPlan } from './StopPlan.js'

const POLL_MS = 50

/**
 * Planned stop: leaves the list of addresses at once, goes on serving those who still come, refuses what could not be
 * finished any more, and resolves when nothing is in hand or the time is over; gives the number of requests cut.
 */
export async function stopEntry (entry: Entry, listener: ClientListener): Promise<number> {
  const { clock, gateway, settings } = entry
  const plan = new StopPlan({ startedAt: clock.readTime(), graceMs: settings.bounds.graceMs, directoryLifetimeMs: settings.directoryLifetimeMs })
  entry.log.record(DecisionKinds.STOPPING, { inFlight: gateway.inFlight })
  entry.leave(plan)
  void entry.residency.stop()
  listener.closeIdle()
  await clock.wait(plan.servesUntil - clock.readTime())
  entry.setPhase(EntryPhases.ENDING)
  while (gateway.inFlight > 0 && clock.readTime() < plan.endsAt) await clock.wait(POLL_MS)
  const cut = gateway.inFlight
  entry.log.record(DecisionKinds.STOPPED, { cut, ms: Math.round(clock.readTime() - plan.startedAt) })
  entry.ended.abort()
  listener.close()
  await entry.network.stop()
  return cut
}
