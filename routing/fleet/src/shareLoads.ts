import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { BackendFleet } from './BackendFleet.js'
import type { BackendPace } from './FleetPaces.js'
import type { LoadTally } from './LoadTally.js'
import { PaceRefusals } from './PaceRefusals.js'
import { ReportSources } from './ServerReports.js'

/** Load and observations of one instance; servers without any are left out. */
export interface SharedLoads {
  loads: [backend: string, running: number, prefillTokens: number, cacheTokens: number, suspects?: number][]
  /** Numbers of its waiting requests that may still meet their latency target, by name. */
  waiting: [name: string, count: number][]
  /** Servers that the sender itself, and no instance that it asked, can reach. */
  down: string[]
  /** Whether the sender reaches no server at all; left out otherwise. */
  isCutOff?: boolean
  /** Services whose servers told the sender a moment ago that they are brittle, with the rejections that they bear in a second. */
  brittle?: [service: string, tolerance: number][]
  /** Failed and total requests by server since the last message. */
  outcomes: [backend: string, failures: number, total: number][]
  /** Longest pauses of streams that ended since the last message, as a share of the allowed maximum, and the number of streams. */
  pauses: [backend: string, maxShare: number, streams: number][]
  /** Shared prompt prefixes that servers processed since the last message. */
  prefixes: [backend: string, weights: string, parts: [id: string, tokens: number][]][]
  /** Paces of servers that changed since the last message, as many as fit; left out if there are none. */
  paces?: BackendPace[]
}

/** Defaults for fields that a peer of an older version leaves out. */
const EMPTY_LOADS: SharedLoads = { loads: [], waiting: [], down: [], outcomes: [], pauses: [], prefixes: [] }
const LOADS = defineChannel<SharedLoads>('fleet.loads')
const SEND_INTERVAL_MS = 100
/** Up to this many recipients get ten messages a second; with more, the interval grows so that an instance sends and receives at most 120 a second. */
const RECIPIENTS_AT_FULL_RATE = 12

export interface ShareLoadsOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  log?: DecisionLog
  /** Number of instances that receive the messages. */
  countRecipients: () => number
  /** Called when another instance sent a message. */
  onChange: () => void
}

/** Sends the load of this instance to the other instances shortly after it changed, and applies theirs. */
export function shareLoads (opts: ShareLoadsOptions, signal: AbortSignal): void {
  const { network, fleet } = opts
  const linkedPeers = new Set<string>()
  const refusals = new PaceRefusals(opts.log)
  let cancel: (() => void) | undefined
  const send = (): void => {
    cancel = undefined
    // Loads are absolute, so the next message makes up for one dropped by a full link; the rest may be lost.
    if (!network.broadcast(LOADS, buildLoads(fleet, opts.clock.readTime()))) schedule()
  }
  const schedule = (): void => {
    cancel ??= opts.clock.setTimer(computeSendIntervalMs(opts.countRecipients()), send)
  }
  const subscriptions = [
    fleet.loadChanges.subscribe(schedule),
    fleet.contacts.changes.subscribe(schedule),
    network.receive(LOADS).subscribe(({ from, body }) => {
      applyLoads(opts, from, { ...EMPTY_LOADS, ...body })
      refusals.record(from, fleet.applyPeerPaces(body.paces ?? [], opts.clock.readTime()))
      opts.onChange()
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind !== 'heard') {
        linkedPeers.delete(event.instance)
        refusals.forget(event.instance)
        fleet.applyPeerLoads(event.instance, new Map())
        fleet.waiting.applyPeerCounts(event.instance, [])
        fleet.contacts.applyPeer(event.instance, false)
      } else if (event.isNewLink || !linkedPeers.has(event.identity.instance)) {
        linkedPeers.add(event.identity.instance)
        schedule()
      }
    }),
  ]
  signal.addEventListener('abort', () => {
    cancel?.()
    subscriptions.forEach((it) => it.unsubscribe())
  }, { once: true })
}

function applyLoads ({ fleet, clock, log }: ShareLoadsOptions, from: string, shared: SharedLoads): void {
  const now = clock.readTime()
  fleet.contacts.applyPeer(from, shared.isCutOff === true)
  for (const [service, tolerance] of shared.brittle ?? []) {
    const isNew = fleet.brittle.recordFromPeer(service, tolerance, now)
    if (isNew) log?.record(DecisionKinds.SERVICE_BRITTLE, { service, source: ReportSources.PEER, peer: from, tolerance })
  }
  fleet.applyPeerLoads(from, parseTallies(shared))
  fleet.waiting.applyPeerCounts(from, shared.waiting)
  for (const [backend, weights, parts] of shared.prefixes) fleet.find(backend)?.cachedPrefixes.record(weights, parts.map(([id, tokens]) => ({ id, tokens })))
  for (const [backend, failures, total] of shared.outcomes) fleet.find(backend)?.failureRate.add(failures, total, now)
  for (const [backend, maxShare, streams] of shared.pauses) fleet.find(backend)?.prefillShare.addSample({ maxShare, streams }, now)
  for (const id of shared.down) {
    if (fleet.find(id)?.path.recordPeerReport(now)) log?.record(DecisionKinds.BACKEND_REPORTED_DOWN, { backend: id, peer: from })
  }
}

/** More instances send less often, which bounds the messages that each one receives. */
function computeSendIntervalMs (recipients: number): number {
  return SEND_INTERVAL_MS * Math.max(1, recipients / RECIPIENTS_AT_FULL_RATE)
}

function parseTallies (shared: SharedLoads): Map<string, LoadTally> {
  const entries = shared.loads.map(([backend, running, prefillTokens, cacheTokens, suspects = 0]): [string, LoadTally] => [
    backend,
    { running, prefillTokens, cacheTokens, suspects },
  ])
  return new Map(entries)
}

/** The number of suspects is left out if there are none. */
function packTally (id: string, { running, prefillTokens, cacheTokens, suspects }: LoadTally): SharedLoads['loads'][number] {
  return suspects > 0 ? [id, running, prefillTokens, cacheTokens, suspects] : [id, running, prefillTokens, cacheTokens]
}

function buildLoads (fleet: BackendFleet, now: number): SharedLoads {
  const busy = fleet.listAll().filter((backend) => backend.ownLoad.running > 0)
  const down = fleet.listAll().filter((backend) => backend.path.isServerDown(now))
  const paces = fleet.takePendingPaces(now)
  const brittle = fleet.brittle.listCurrent(now)
  return {
    loads: busy.map(({ id, ownLoad }) => packTally(id, ownLoad)),
    waiting: fleet.waiting.listOwn(),
    down: down.map(({ id }) => id),
    outcomes: fleet.takePendingOutcomes(),
    pauses: fleet.takePendingPauses(),
    prefixes: fleet.takePendingPrefixes().map(({ backend, weights, parts }) => [backend, weights, parts.map(({ id, tokens }) => [id, tokens])]),
    ...paces.length > 0 && { paces },
    ...fleet.contacts.isCutOff && { isCutOff: true },
    ...brittle.length > 0 && { brittle },
  }
}
