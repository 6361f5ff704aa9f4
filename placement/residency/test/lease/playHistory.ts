import { TURN_MS } from '../ResidencyNode.js'
import { LeaseWorld, type LeaseWorldOptions } from './LeaseWorld.js'
import { judgeArrivals, type ArrivalFault } from './judgeArrivals.js'
import { applyStep, type StepName } from './steps.js'

const START_MS = 6_000
const TURN_STEP_MS = 200
/** An instance acquires the lease and waits for the latest order without an answer of its predecessors. */
export const MAX_SILENCE_MS = 25_000

/** A step, and the milliseconds until the next one. */
export type History = readonly (readonly [step: StepName, waitMs: number])[]

export interface Outcome {
  /** Faults by kind, with the orders that show them. */
  faults: Map<ArrivalFault, string>
  isMemoryExceeded: boolean
  /** Longest time without an order at any server, in milliseconds. */
  silenceMs: number
  /** Whether every server gets orders again after the faults. */
  isLive: boolean
  /** The holders and fences in the order in which servers saw them. */
  turns: string
  /** How the later holders acquired the lease. */
  origins: string
}

/** Plays the steps, ends all faults and waits until the servers get orders again. */
export async function playHistory (history: History, opts: Partial<LeaseWorldOptions> = {}): Promise<Outcome> {
  const world = new LeaseWorld({ instances: ['n1', 'n2', 'n3'], servers: ['r1', 'r2'], ...opts })
  const { clock, servers } = world
  await clock.advance(START_MS)
  world.takeSnapshot()
  const origins = new Set<string>()
  const advance = async (ms: number): Promise<void> => {
    for (let leftMs = ms; leftMs > 0; leftMs -= TURN_STEP_MS) {
      await clock.advance(Math.min(leftMs, TURN_STEP_MS))
      const holder = world.living.find(({ node }) => node.service.maySendOrders)?.node
      if (holder && holder.lease.fence > 1) origins.add(holder.lease.origin)
    }
  }
  for (const [step, waitMs] of history) {
    applyStep(world, step)
    await advance(waitMs)
  }
  world.healAll()
  const healedAt = clock.readTime()
  const isServed = (): boolean => servers.received.some(({ at }) => at > Math.max(healedAt, world.busyUntil))
  while (!isServed() && clock.readTime() < Math.max(healedAt, world.busyUntil) + MAX_SILENCE_MS) await advance(TURN_STEP_MS)
  const isLive = isServed()
  await advance(1_000)
  for (const process of world.living) process.gate.kill()
  return {
    faults: judgeArrivals(servers.received, TURN_MS),
    isMemoryExceeded: servers.overcommitted,
    silenceMs: findSilenceMs(servers.received.map(({ at }) => at)),
    isLive,
    turns: listTurns(servers.received.map(({ holder, fence }) => `${holder}/${fence}`)),
    origins: [...origins].join(),
  }
}

function findSilenceMs (times: readonly number[]): number {
  return Math.max(0, ...times.slice(1).map((at, index) => at - (times[index] as number)))
}

function listTurns (senders: readonly string[]): string {
  return senders.filter((sender, at) => sender !== senders[at - 1]).join(' ')
}
