import type { Policy } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendQueue } from '../src/index.js'
import type { BackendPlace } from '../src/BackendSlot.js'
import { createStreamProgress } from '../src/relayStream.js'
import type { RoutedWork } from '../src/RoutedWork.js'

/** How a kind of request comes and what it needs; milliseconds. */
export interface Load {
  servers: number
  slots: number
  /** Requests a second by the time since the start. */
  readRate: (atMs: number) => number
  lastsMs: number
  targetMs: number
  deadlineMs: number
  patienceMs: number
  /** From the place to the first event, and to the end. */
  firstMs: number
  heldMs: number
}

/** What became of the requests of one load. */
export interface Outcome {
  asked: number
  inAim: number
  late: number
  refused: number
  /** Requests that were not served and had waited for longer than a moment, and how long they had waited together, in seconds. */
  waitedInVain: number
  vainSeconds: number
  /** Greatest time that one waited and was not served. */
  longestVainMs: number
}

const TICK_MS = 10
/** As the users value it: nothing is charged for up to an eighth of the target. */
const MOMENT_SHARE = 0.125

/** What the outcome is worth to callers: full credit in time, the late share after that, and what waits in vain cost by their time. */
export function computeWorth (outcome: Outcome, load: Load, lateShare = 0.3): number {
  const vainCost = outcome.vainSeconds * 1_000 / Math.min(load.deadlineMs, load.patienceMs)
  return (outcome.inAim + lateShare * outcome.late - vainCost) / outcome.asked
}

/** Plays a load against the queue in simulated time. With `isRefusingWhenFull` nobody waits at all. */
export async function playLoad (load: Load, policy: Policy, seed: number, isRefusingWhenFull = false): Promise<Outcome> {
  const clock = new ManualClock()
  const random = new RandomSource(seed)
  const fleet = new BackendFleet()
  fleet.replaceAll(Array.from({ length: load.servers }, (_, at) => createEntry(`s${at}`, load.slots)))
  const residency = { requestWeights: () => Promise.resolve({ coming: false, reason: '' }), noteEnded: () => undefined } as unknown as ResidencyClient
  // A stream of its own, so that two policies meet the same arrivals.
  const queue = new BackendQueue({ clock, random: new RandomSource(seed + 1_000), fleet, residency, log: new SilentDecisionLog(), dataHall: 'z', policy })
  const outcome: Outcome = { asked: 0, inAim: 0, late: 0, refused: 0, waitedInVain: 0, vainSeconds: 0, longestVainMs: 0 }
  const begin = async (): Promise<void> => {
    const arrivedAt = clock.readTime()
    const left = new AbortController()
    const cancel = clock.setTimer(Math.min(load.patienceMs, load.deadlineMs), () => left.abort())
    const work = createWork(load, arrivedAt, left.signal)
    outcome.asked++
    const pace = 0.75 + random.readFraction() / 2
    const acquired = queue.acquire(work)
    if (isRefusingWhenFull && queue.isWaiting(work)) left.abort()
    const place = await acquired.catch((error: PulleystackError) => error)
    if (place instanceof Error) {
      outcome.refused++
      noteVain(outcome, load, clock.readTime() - arrivedAt)
      cancel()
      return
    }
    await serve(place, load, clock, pace)
    cancel()
    const firstAfterMs = clock.readTime() - arrivedAt - (load.heldMs - load.firstMs)
    if (firstAfterMs <= load.targetMs * 1.1) outcome.inAim++
    else outcome.late++
  }
  let owed = 0
  for (let at = 0; at < load.lastsMs; at += TICK_MS) {
    owed += load.readRate(at) * TICK_MS / 1_000 * 2 * random.readFraction()
    for (; owed >= 1; owed--) void begin()
    await clock.advance(TICK_MS)
  }
  await clock.advance(load.deadlineMs + load.heldMs * 2)
  return outcome
}

async function serve (place: BackendPlace, load: Load, clock: ManualClock, pace: number): Promise<void> {
  await clock.wait(load.firstMs * pace)
  place.notePrefilled()
  await clock.wait((load.heldMs - load.firstMs) * pace)
  place.end()
}

function noteVain (outcome: Outcome, load: Load, waitedMs: number): void {
  outcome.longestVainMs = Math.max(outcome.longestVainMs, waitedMs)
  if (waitedMs <= load.targetMs * MOMENT_SHARE) return
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
    stream: createStreamProgress(undefined),
    signal,
  } as unknown as RoutedWork
}
