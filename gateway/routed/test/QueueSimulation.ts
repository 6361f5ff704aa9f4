import type { Policy } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendQueue } from '../src/index.js'
import type { BackendSlot } from '../src/BackendSlot.js'
import { createStreamProgress } from '../src/relayStream.js'
import type { RoutedWork } from '../src/RoutedWork.js'

/** Arrival rate and requirements of one kind of request. */
export interface Load {
  servers: number
  slots: number
  requestsPerSecond: (atMs: number) => number
  durationMs: number
  targetMs: number
  deadlineMs: number
  patienceMs: number
  /** Time from acquiring the slot to the first event. */
  firstMs: number
  /** Time from acquiring the slot to releasing it. */
  heldMs: number
}

/** Outcomes of the requests of one load. */
export interface Outcome {
  asked: number
  /** Served within the latency target. */
  inAim: number
  /** Served past the latency target. */
  late: number
  /** Rejected, or given up by the client. */
  refused: number
  /** Requests that were not served after more than a brief wait. */
  waitedInVain: number
  /** Sum of their waits. */
  vainSeconds: number
  /** Longest wait of a request that was not served. */
  longestVainMs: number
}

const TICK_MS = 10
/** A wait of up to this share of the latency target counts as brief. */
const BRIEF_WAIT_SHARE = 0.125

/** Scores an outcome: 1 per request within its target, `lateShare` per late one, minus a cost for waits without service; as a mean. */
export function computeScore (outcome: Outcome, load: Load, lateShare = 0.3): number {
  const waitCost = outcome.vainSeconds * 1_000 / Math.min(load.deadlineMs, load.patienceMs)
  return (outcome.inAim + lateShare * outcome.late - waitCost) / outcome.asked
}

/** Runs a load against the queue in simulated time. With `isRejectingWhenFull` no request waits. */
export async function simulateLoad (load: Load, policy: Policy, seed: number, isRejectingWhenFull = false): Promise<Outcome> {
  const clock = new ManualClock()
  const random = new RandomSource(seed)
  const fleet = new BackendFleet()
  fleet.replaceAll(Array.from({ length: load.servers }, (_, at) => createEntry(`s${at}`, load.slots)))
  const residency = { requestWeights: () => Promise.resolve({ coming: false, reason: '' }), recordEnded: () => undefined } as unknown as ResidencyClient
  // A separate random source, so that different policies get the same arrivals.
  const queue = new BackendQueue({ clock, random: new RandomSource(seed + 1_000), fleet, residency, log: new NullDecisionLog(), dataHall: 'z', policy })
  const outcome: Outcome = { asked: 0, inAim: 0, late: 0, refused: 0, waitedInVain: 0, vainSeconds: 0, longestVainMs: 0 }
  const runRequest = async (): Promise<void> => {
    const arrivedAt = clock.readTime()
    const client = new AbortController()
    const cancel = clock.setTimer(Math.min(load.patienceMs, load.deadlineMs), () => client.abort())
    const work = createWork(load, arrivedAt, client.signal)
    outcome.asked++
    const speedFactor = 0.75 + random.readFraction() / 2
    const acquired = queue.acquire(work)
    if (isRejectingWhenFull && queue.isWaiting(work)) client.abort()
    const slot = await acquired.catch((error: PulleystackError) => error)
    if (slot instanceof Error) {
      outcome.refused++
      recordWastedWait(outcome, load, clock.readTime() - arrivedAt)
      cancel()
      return
    }
    await serve(slot, load, clock, speedFactor)
    cancel()
    const firstAfterMs = clock.readTime() - arrivedAt - (load.heldMs - load.firstMs)
    if (firstAfterMs <= load.targetMs * 1.1) outcome.inAim++
    else outcome.late++
  }
  let dueRequests = 0
  for (let at = 0; at < load.durationMs; at += TICK_MS) {
    dueRequests += load.requestsPerSecond(at) * TICK_MS / 1_000 * 2 * random.readFraction()
    for (; dueRequests >= 1; dueRequests--) void runRequest()
    await clock.advance(TICK_MS)
  }
  await clock.advance(load.deadlineMs + load.heldMs * 2)
  return outcome
}

async function serve (slot: BackendSlot, load: Load, clock: ManualClock, speedFactor: number): Promise<void> {
  await clock.wait(load.firstMs * speedFactor)
  slot.recordPrefilled()
  await clock.wait((load.heldMs - load.firstMs) * speedFactor)
  slot.release()
}

function recordWastedWait (outcome: Outcome, load: Load, waitedMs: number): void {
  outcome.longestVainMs = Math.max(outcome.longestVainMs, waitedMs)
  if (waitedMs <= load.targetMs * BRIEF_WAIT_SHARE) return
  outcome.waitedInVain++
  outcome.vainSeconds += waitedMs / 1_000
}

function createEntry (id: string, slots: number): Parameters<BackendFleet['put']>[0] {
  return { id, service: 's', address: `${id}:1`, dataHall: 'z', slots, draining: false, models: [{ name: 'm', adapters: [] }], inMemory: [], onDisk: [] }
}

function createWork (load: Load, arrivedAt: number, signal: AbortSignal): RoutedWork {
  return {
    requestId: 'r',
    arrivedAt,
    firstTriedAt: arrivedAt,
    deadline: arrivedAt + load.deadlineMs,
    route: { name: 'r', priority: 0, targetLatencyMs: load.targetMs, patienceMs: load.patienceMs },
    service: { name: 's', serving: { cacheTokens: 1_000_000, batchSlots: load.slots, models: [] } },
    generation: { model: 'm', adapter: undefined, promptTokens: 10, outputTokens: 10, parts: [] },
    excluded: new Set(),
    deniedUntil: new Map(),
    stream: createStreamProgress(undefined),
    signal,
  } as unknown as RoutedWork
}
