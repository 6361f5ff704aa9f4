import { EventKinds } from '@pulleystack/timeline.events'
import type { Control } from './createControl.js'
import type { Listener } from './listen.js'
import type { Core } from './startInstance.js'

const POLL_INTERVAL_MS = 50
// The platform's list and peers' answers may still name this instance for so long.
const DIRECTORY_LAG_MS = 3_000

export interface StopParts {
  control: Control
  listener: Listener
  inFlight: () => number
}

/**
 * Stops without cutting anything off: out of the directory first, then serve as long as an answer of the directory
 * may still be kept, hand over what is owned, finish what is in flight, close. Gives the number of requests cut,
 * which is 0 unless a second call cut the stop short.
 */
export async function stopInstance (core: Core, parts: StopParts): Promise<number> {
  if (core.view.self.state === 'leaving') return stopNow(core, parts)
  core.ring.record(EventKinds.STOP_STARTED)
  core.view.setLeaving()
  core.network.announceIdentity()
  await parts.control.handOver()
  await core.clock.wait(core.settings.directory.lifetimeSeconds * 1000 + DIRECTORY_LAG_MS, core.ended.signal)
  parts.listener.setClosing()
  while (parts.inFlight() > 0 && !core.ended.signal.aborted) await core.clock.wait(POLL_INTERVAL_MS, core.ended.signal)
  const cut = parts.inFlight()
  core.ring.record(EventKinds.STOP_FINISHED, { note: `${cut} requests cut` })
  core.ended.abort()
  await (cut > 0 ? parts.listener.closeNow() : parts.listener.close())
  await core.network.stop()
  return cut
}

async function stopNow (core: Core, parts: StopParts): Promise<number> {
  const cut = parts.inFlight()
  core.logger.warn({ cut }, 'stop cut short')
  core.ended.abort()
  await parts.listener.closeNow()
  return cut
}
