import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from './BackendFleet.js'
import type { LoadTally } from './LoadTally.js'

/** What one instance has in hand at each server where it has something. */
export interface SharedLoads {
  loads: [backend: string, running: number, prefillTokens: number, cacheTokens: number, suspects?: number][]
  /** How many of its requests that can still be in time wait for what. */
  waiting: [name: string, count: number][]
  /** Servers to which no connection comes up. */
  down: string[]
  /** Answers of servers since the last message, and how many of them failed. */
  outcomes: [backend: string, failures: number, total: number][]
  /** Longest pauses of streams that ended since the last message, as a share of what was allowed, and how many streams. */
  pauses: [backend: string, worst: number, streams: number][]
  /** Shared beginnings of prompts that servers have read since the last message. */
  prefixes: [backend: string, weights: string, parts: [id: string, tokens: number][]][]
}

/** What a message tells that leaves everything out; peers of an older version leave out what they don't know. */
const NOTHING: SharedLoads = { loads: [], waiting: [], down: [], outcomes: [], pauses: [], prefixes: [] }
const LOADS = defineChannel<SharedLoads>('fleet.loads')
const SHARE_MS = 100
/** Up to so many readers hear ten times a second; beyond it each instance sends and reads 120 messages a second at the most. */
const READERS_AT_FULL_RATE = 12

export interface ShareLoadsOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  /** Instances that are told. */
  countReaders: () => number
  /** Another instance told something new. */
  onChange: () => void
}

/** Tells the other instances what this one has in hand, soon after it changed, and takes what they tell. */
export function shareLoads (opts: ShareLoadsOptions, signal: AbortSignal): void {
  const { network, fleet } = opts
  const told = new Set<string>()
  let cancel: (() => void) | undefined
  const tell = (): void => {
    cancel = undefined
    // Loads are absolute, so that the next message makes up for one that a full link dropped; the rest is advice.
    if (!network.broadcast(LOADS, buildLoads(fleet, opts.clock.readTime()))) schedule()
  }
  const schedule = (): void => {
    cancel ??= opts.clock.setTimer(computeShareMs(opts.countReaders()), tell)
  }
  const subscriptions = [
    fleet.loadChanges.subscribe(schedule),
    network.receive(LOADS).subscribe(({ from, body }) => {
      takeLoads(fleet, from, { ...NOTHING, ...body }, opts.clock.readTime())
      opts.onChange()
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard') {
        told.delete(event.instance)
        fleet.applyPeerLoads(event.instance, new Map())
        fleet.waiting.takeOther(event.instance, [])
      } else if (event.isNewLink || !told.has(event.identity.instance)) {
        told.add(event.identity.instance)
        schedule()
      }
    }),
  ]
  signal.addEventListener('abort', () => {
    cancel?.()
    subscriptions.forEach((it) => it.unsubscribe())
  }, { once: true })
}

/** Takes what a peer tells. */
function takeLoads (fleet: BackendFleet, from: string, shared: SharedLoads, now: number): void {
  fleet.applyPeerLoads(from, readTallies(shared))
  fleet.waiting.takeOther(from, shared.waiting)
  for (const [backend, weights, parts] of shared.prefixes) fleet.find(backend)?.prefixes.note(weights, parts.map(([id, tokens]) => ({ id, tokens })))
  for (const [backend, failures, total] of shared.outcomes) fleet.find(backend)?.failureRate.add(failures, total, now)
  for (const [backend, worst, streams] of shared.pauses) fleet.find(backend)?.readingShare.learn({ worst, streams }, now)
  for (const backend of shared.down) fleet.find(backend)?.noteReportedDown(now)
}

/** Many instances tell less often, so that nobody has to read more. */
function computeShareMs (readers: number): number {
  return SHARE_MS * Math.max(1, readers / READERS_AT_FULL_RATE)
}

function readTallies (shared: SharedLoads): Map<string, LoadTally> {
  const entries = shared.loads.map(([backend, running, prefillTokens, cacheTokens, suspects = 0]): [string, LoadTally] => [
    backend,
    { running, prefillTokens, cacheTokens, suspects },
  ])
  return new Map(entries)
}

/** Suspects are rare, and left out when there are none. */
function packTally (id: string, { running, prefillTokens, cacheTokens, suspects }: LoadTally): SharedLoads['loads'][number] {
  return suspects > 0 ? [id, running, prefillTokens, cacheTokens, suspects] : [id, running, prefillTokens, cacheTokens]
}

function buildLoads (fleet: BackendFleet, now: number): SharedLoads {
  const busy = fleet.listAll().filter((backend) => backend.own.running > 0)
  const down = fleet.listAll().filter((backend) => !backend.isReachable(now))
  return {
    loads: busy.map(({ id, own }) => packTally(id, own)),
    waiting: fleet.waiting.listOwn(),
    down: down.map(({ id }) => id),
    outcomes: fleet.takeUntoldOutcomes(),
    pauses: fleet.takeUntoldPauses(),
    prefixes: fleet.takeUntold().map(({ backend, weights, parts }) => [backend, weights, parts.map(({ id, tokens }) => [id, tokens])]),
  }
}
