import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { PathVerdicts, type Backend, type BackendFleet, type ContactChange, type PathVerdict } from '@pulleystack/routing.fleet'
import type { ServerProbe } from '@pulleystack/routing.forward'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { ControlProbe } from './ControlProbe.js'
import { EarlyControl, PROMPT_ANSWER_MS } from './EarlyControl.js'
import { PathChecker } from './PathChecker.js'
import { SIGHTING, Sightings, collectSightings, judgeSightings, type Sighting, type SightingCounts } from './sightings.js'

/** Instances asked at once about one server. */
const WITNESSES = 3
/** Further instances are asked while none of those asked before has an answer. */
const MAX_ROUNDS = 4
/** Longer than a witness needs for two connection attempts that time out. */
const SIGHTING_TIMEOUT_MS = 800
const PROBE_INTERVAL_MS = 250
/** Lost paths probed in one interval. */
const MAX_PROBES = 4
/** Age of a verdict on a lost path after which other instances are asked again, as the server may have crashed since. */
const VERDICT_TTL_MS = 2_000

export interface ServerPathsOptions {
  clock: Clock
  random: RandomSource
  network: PeerNetwork
  fleet: BackendFleet
  probe: ServerProbe
  log: DecisionLog
  /** Other instances that send requests to the same servers. */
  listPeers: () => readonly string[]
  /** Called when a lost path works again. */
  onRestored: (backend: Backend) => void
}

/** Judges lost paths with the help of other instances, answers theirs, and probes paths that are lost. */
export class ServerPaths extends PathChecker {
  private readonly control: ControlProbe
  private readonly checks = new Map<string, Promise<PathVerdict>>()
  private nextProbe = 0

  constructor (private readonly opts: ServerPathsOptions) {
    super()
    this.control = new ControlProbe(opts)
  }

  /** Answers other instances and probes lost paths until the signal aborts. */
  start (signal: AbortSignal): void {
    this.opts.network.handleCalls(SIGHTING, async (_, { server }) => ({ sighting: await this.look(server) }))
    const subscription = this.opts.fleet.contacts.changes.subscribe((change) => this.recordContacts(change))
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
    keepRunning({ task: 'probes of lost paths', clock: this.opts.clock, signal, run: () => this.keepProbing(signal) })
  }

  override check (backend: Backend): Promise<PathVerdict> {
    const pending = this.checks.get(backend.id)
    if (pending) return pending
    const check = this.judge(backend).finally(() => this.checks.delete(backend.id))
    this.checks.set(backend.id, check)
    return check
  }

  override async inspect (backend: Backend): Promise<PathVerdict | undefined> {
    if (!await this.opts.probe.isDown(backend.entry.address)) return undefined
    backend.path.recordFailure(this.opts.clock.readTime())
    return this.check(backend)
  }

  private async judge (backend: Backend): Promise<PathVerdict> {
    const control = new EarlyControl(this.opts.clock, () => this.control.canReachOther(backend))
    const counts = await this.askWitnesses(backend.id)
    // A server that others reach is up, whether or not this instance is cut off.
    if (counts.reached > 0) {
      this.recordVerdict(backend, PathVerdicts.PATH_LOST, counts)
      void this.checkContact(control)
      return PathVerdicts.PATH_LOST
    }
    const hasOwnSight = counts.unreached > 0 || await control.read()
    control.discard()
    const verdict = judgeSightings(counts, hasOwnSight)
    this.recordVerdict(backend, verdict, counts)
    if (!hasOwnSight) this.recordCutOff()
    return verdict
  }

  private recordVerdict (backend: Backend, verdict: PathVerdict, counts: SightingCounts): void {
    const { clock, log, fleet } = this.opts
    backend.path.recordVerdict(verdict, clock.readTime())
    log.record(DecisionKinds.BACKEND_UNREACHABLE, { backend: backend.id, address: backend.entry.address, verdict, ...counts })
    fleet.announceLoadChange()
  }

  private async checkContact (control: EarlyControl): Promise<void> {
    if (!await control.read()) this.recordCutOff()
  }

  /** Asks instances whether they reach the server, a few at a time, until one has an answer. Those that are late are likely cut off themselves. */
  private async askWitnesses (server: string): Promise<SightingCounts> {
    const peers = this.rankWitnesses().slice(0, WITNESSES * MAX_ROUNDS)
    const asked: Promise<Sighting | undefined>[] = []
    while (asked.length < peers.length) {
      asked.push(...peers.slice(asked.length, asked.length + WITNESSES).map((peer) => this.askWitness(peer, server)))
      const counts = await Promise.race([collectSightings(asked), this.opts.clock.wait(PROMPT_ANSWER_MS)])
      if (counts && counts.reached + counts.unreached > 0) return counts
    }
    return collectSightings(asked)
  }

  private async askWitness (peer: string, server: string): Promise<Sighting | undefined> {
    const { network, fleet } = this.opts
    const answer = await network.call(peer, SIGHTING, { server }, SIGHTING_TIMEOUT_MS)
    if (answer.isErr()) return undefined
    const { sighting } = answer.value
    if (sighting !== Sightings.UNKNOWN) fleet.contacts.applyPeer(peer, sighting === Sightings.CUT_OFF)
    return sighting
  }

  /** Instances that are cut off themselves come last. */
  private rankWitnesses (): string[] {
    const { random, fleet, listPeers } = this.opts
    const rank = (peer: string): number => random.readFraction() + (fleet.contacts.isPeerCutOff(peer) ? 1 : 0)
    return listPeers().map((peer) => ({ peer, at: rank(peer) })).sort((a, b) => a.at - b.at).map(({ peer }) => peer)
  }

  /** What this instance sees of a server, found out now. */
  private async look (server: string): Promise<Sighting> {
    const { fleet, probe, clock } = this.opts
    const backend = fleet.find(server)
    if (!backend) return Sightings.UNKNOWN
    const control = new EarlyControl(clock, () => this.control.canReachOther(backend))
    if (await probe.isDown(backend.entry.address)) return await control.read() ? Sightings.UNREACHED : Sightings.CUT_OFF
    control.discard()
    fleet.recordReached(backend, clock.readTime())
    return Sightings.REACHED
  }

  /** No server is tried by requests until a probe has reached it. */
  private recordCutOff (): void {
    const { fleet, clock } = this.opts
    const now = clock.readTime()
    for (const { path } of fleet.listAll()) {
      path.recordFailure(now)
      if (!path.isLost) path.recordVerdict(PathVerdicts.UNKNOWN, now)
    }
    fleet.contacts.recordCutOff(now)
  }

  private recordContacts ({ isCutOff, forMs }: ContactChange): void {
    const { fleet, log } = this.opts
    if (isCutOff) log.record(DecisionKinds.CUT_OFF, { backends: fleet.listAll().length })
    else log.record(DecisionKinds.RECONNECTED, { forMs: Math.round(forMs) })
  }

  private async keepProbing (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(PROBE_INTERVAL_MS, signal)
      await this.probeLost()
    }
  }

  /** Probes some lost paths in turn, and all of them as soon as one works again. */
  private async probeLost (): Promise<void> {
    const lost = this.opts.fleet.listAll().filter(({ path }) => path.isLost)
    if (lost.length === 0) return
    const chosen = lost.length <= MAX_PROBES ? lost : Array.from({ length: MAX_PROBES }, () => lost[this.nextProbe++ % lost.length] as Backend)
    const outcomes = await Promise.all(chosen.map((backend) => this.probe(backend)))
    if (outcomes.includes(true)) await Promise.all(lost.filter((backend) => !chosen.includes(backend)).map((backend) => this.probe(backend)))
    if (!this.opts.fleet.contacts.isCutOff) this.updateVerdicts(lost)
  }

  private updateVerdicts (lost: readonly Backend[]): void {
    const now = this.opts.clock.readTime()
    const isDue = ({ path }: Backend): boolean => path.isLost && (path.verdict === PathVerdicts.UNKNOWN || path.readVerdictAgeMs(now) > VERDICT_TTL_MS)
    for (const backend of lost.filter(isDue)) void this.check(backend)
  }

  private async probe (backend: Backend): Promise<boolean> {
    const { fleet, probe, clock, onRestored } = this.opts
    if (await probe.isDown(backend.entry.address)) return false
    fleet.recordReached(backend, clock.readTime())
    onRestored(backend)
    return true
  }
}
