import { EventKinds } from '@pulleystack/timeline.events'
import type { Control } from './createControl.js'
import type { Listener } from './listen.js'
import type { Core } from './startInstance.js'

const POLL_INTERVAL_MS = 50
/** Time for which the platform's instance list and peers' directory responses may still contain a stopping instance. */
const DIRECTORY_LAG_MS = 3_000

export interface StopParts {
  control: Control
  listener: Listener
  inFlight: () => number
}

/**
 * Stops without aborting requests: leaves the directory, hands over owned work, serves until cached directory responses have expired, finishes active
 * requests and closes. Resolves with the number of aborted requests, which is 0 unless a second call stops the instance immediately.
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
  const aborted = parts.inFlight()
  core.ring.record(EventKinds.STOP_FINISHED, { note: `${aborted} requests aborted` })
  core.ended.abort()
  await (aborted > 0 ? parts.listener.closeNow() : parts.listener.close())
  await core.network.stop()
  return aborted
}

async function stopNow (core: Core, parts: StopParts): Promise<number> {
  const aborted = parts.inFlight()
  core.logger.warn({ cut: aborted }, 'second stop request: aborting active requests')
  core.ended.abort()
  await parts.listener.closeNow()
  return aborted
}
