import type { SuspectRun } from '@pulleystack/routing.quarantine'
import type { BackendQueue } from './BackendQueue.js'
import type { BackendSlot } from './BackendSlot.js'
import type { RoutedWork } from './RoutedWork.js'
import type { SuspectGate } from './SuspectGate.js'

/** Acquires slots at servers. */
export interface SlotSource {
  /** Waits for a slot; rejects as soon as none is expected in time. */
  acquire: (work: RoutedWork) => Promise<BackendSlot>
  /** Acquires a slot at a server other than that of `current`, without waiting for one; undefined if there is none now. */
  acquireElsewhere: (work: RoutedWork, current: BackendSlot) => Promise<BackendSlot | undefined> | BackendSlot | undefined
}

export interface AdmissionOptions {
  suspects: Pick<SuspectGate, 'admit' | 'mustReadmit'>
  queue: Pick<BackendQueue, 'checkVersion' | 'watchVersion'>
  slots: SlotSource
}

/** A slot, and the permit for one run there. */
export interface SlotAdmission {
  slot: BackendSlot
  run: SuspectRun
}

/** Acquires a slot; starts over if the request may not run any more as it was admitted. */
export async function admitToSlot (opts: AdmissionOptions, work: RoutedWork): Promise<SlotAdmission> {
  for (;;) {
    const run = await admitRun(opts, work)
    const slot = await acquireSlot(opts, work, run)
    if (!opts.suspects.mustReadmit(work, run)) return { slot, run }
    slot.release()
    run.release()
  }
}

/** Acquires a slot at a server other than that of `current`, without waiting for one; undefined if there is none now. */
export async function admitElsewhere (opts: AdmissionOptions, work: RoutedWork, current: BackendSlot, ending: AbortSignal): Promise<SlotAdmission | undefined> {
  const run = await opts.suspects.admit(work, ending)
  let slot: BackendSlot | undefined
  try {
    slot = await opts.slots.acquireElsewhere(work, current)
    if (slot && !opts.suspects.mustReadmit(work, run)) return { slot, run }
  } catch (thrown) {
    run.release()
    throw thrown
  }
  slot?.release()
  run.release()
  return undefined
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
