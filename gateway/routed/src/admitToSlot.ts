import type { SuspectRun } from '@pulleystack/routing.quarantine'
import type { BackendQueue } from './BackendQueue.js'
import type { BackendSlot } from './BackendSlot.js'
import type { ReservedSlots } from './ReservedSlots.js'
import type { RoutedWork } from './RoutedWork.js'
import type { SuspectGate } from './SuspectGate.js'

export interface AdmissionOptions {
  suspects: Pick<SuspectGate, 'admit' | 'mustReadmit'>
  queue: Pick<BackendQueue, 'checkVersion' | 'watchVersion'>
  slots: Pick<ReservedSlots, 'acquire'>
}

/** A slot, and the permit for one run there. */
export interface SlotAdmission {
  slot: BackendSlot
  run: SuspectRun
}

/** Acquires a slot, or takes the one that is held; starts over if the request may not run any more as it was admitted. */
export async function admitToSlot (opts: AdmissionOptions, work: RoutedWork, heldSlot?: BackendSlot): Promise<SlotAdmission> {
  let held = heldSlot
  for (;;) {
    const run = await admitRun(opts, work).catch((error: unknown) => {
      held?.release()
      throw error
    })
    const slot = held ?? await acquireSlot(opts, work, run)
    held = undefined
    if (!opts.suspects.mustReadmit(work, run)) return { slot, run }
    slot.release()
    run.release()
  }
}

/** Admits a run, and rejects at once if the version that the request needs goes while it waits for an exclusive run. */
async function admitRun (opts: AdmissionOptions, work: RoutedWork): Promise<SuspectRun> {
  opts.queue.checkVersion(work)
  const watch = opts.queue.watchVersion(work)
  try {
    return await opts.suspects.admit(work, watch?.lost)
  } finally {
    watch?.end()
  }
}

async function acquireSlot (opts: AdmissionOptions, work: RoutedWork, run: SuspectRun): Promise<BackendSlot> {
  try {
    return await opts.slots.acquire(work)
  } catch (thrown) {
    run.release()
    throw thrown
  }
}
