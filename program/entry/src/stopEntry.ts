import { DecisionKinds } from '@pulleystack/timeline.decisions'
import type { ClientListener } from './listenForClients.js'
import { EntryPhases, type Entry } from './startEntry.js'

/** Clients may keep an old list for three of its lifetimes. */
const LIFETIMES = 3
/** Time before the end in which nothing new is begun. */
const FINISH_MS = 3_400
const LAST_MS = 500
const POLL_MS = 50

/**
 * Planned stop: leaves the list of addresses at once, goes on serving those who still come, refuses what could not be
 * finished any more, and resolves when nothing is in hand or the time is over; gives the number of requests cut.
 */
export async function stopEntry (entry: Entry, listener: ClientListener): Promise<number> {
  const { clock, gateway, settings } = entry
  const startedAt = clock.readTime()
  entry.log.record(DecisionKinds.STOPPING, { inFlight: gateway.inFlight })
  entry.setPhase(EntryPhases.LEAVING)
  void entry.residency.stop()
  void entry.mesh.withdraw()
  listener.closeIdle()
  const serveMs = Math.min(settings.directoryLifetimeMs * LIFETIMES, settings.bounds.graceMs - FINISH_MS)
  await clock.wait(serveMs)
  entry.setPhase(EntryPhases.ENDING)
  while (gateway.inFlight > 0 && clock.readTime() - startedAt < settings.bounds.graceMs - LAST_MS) await clock.wait(POLL_MS)
  const cut = gateway.inFlight
  entry.log.record(DecisionKinds.STOPPED, { cut, ms: Math.round(clock.readTime() - startedAt) })
  entry.ended.abort()
  listener.close()
  await entry.network.stop()
  return cut
}
