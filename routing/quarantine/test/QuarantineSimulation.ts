import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import type { PeerEvent, PeerIdentity } from '@pulleystack/membership.peers'
import { Quarantine, Verdicts, type RequestTraits, type SuspectRule, type SuspectRun } from '../src/index.js'

/** Time from the start of a poison request to the crash of its server. */
const CRASH_DELAY_MS = 50
/** Time from the start of a harmless request until its server begins to write. */
const BEGIN_MS = 30
/** Traits that the requests of a simulation share. */
const COMMON_TRAIT = 'part/common'
const POISON_TRAIT = 'part/poison'
const TOPICS = 20
/** Time from a server's crash to its restart. */
const SERVER_RESTART_MS = 3_000
/** Arrivals this long after the third crash count as late. */
const LATE_ARRIVAL_MS = 3_000
const MAX_ATTEMPTS = 2
const MAX_CLIENT_TRIES = 2
const TICK_MS = 10
/** Cost of a suspect relative to another request when a server is chosen. */
const SUSPECT_COST = 40
const MAX_SLOT_WAIT_MS = 2_000
const NEVER_ABORTED = new AbortController().signal
const MAX_MESSAGE_DELAY_MS = 5

/** Traffic and failures of a simulation; times in milliseconds. */
export interface Scenario {
  instances: number
  servers: number
  lastsMs: number
  /** Harmless requests per second, how long a server runs them, and the share of them that are identical. */
  rate: number
  runMs: number
  sameShare: number
  /** Interval of the poison request, and how many are sent at once. */
  lethalEveryMs?: number
  /** Poison requests are all different and share a trait; otherwise the same one is repeated. */
  isPoisonPart?: boolean
  atOnce?: number
  /** Interval of server crashes for other reasons, and how many servers crash together. */
  endsEveryMs?: number
  endsTogether?: number
  /** Interval at which all instances are killed and restarted. */
  restartEveryMs?: number
}

export interface ScenarioOutcome {
  endedByLethal: number
  /** Arrivals of the poison request more than 3 s after it crashed the third server. */
  laterArrivals: number
  innocent: number
  /** Harmless requests that were rejected at least once as suspects, and ones that failed in all their tries. */
  refusedWrongly: number
  lost: number
}

interface Server {
  incarnation: string
  isUp: boolean
  running: Set<Run>
}

interface Run {
  isPoison: boolean
  /** Whether others avoid its server. */
  isSuspect: boolean
  /** Returns whether it is still suspect. */
  onBegun: () => boolean
  finish: (isSuccess: boolean) => void
}

interface SimulatedRequest extends RequestTraits {
  isPoison: boolean
}

/** One attempt of the gateway. */
interface Attempt {
  quarantine: Quarantine
  request: SimulatedRequest
  run: SuspectRun
  server: Server
  isSuspect: boolean
}

interface Instance {
  name: string
  quarantine: Quarantine
  controller: AbortController
}

/** Simulates instances and backend servers under one rule; the same seed gives the same arrivals for every rule. */
export class QuarantineSimulation {
  readonly clock = new ManualClock()
  readonly outcome: ScenarioOutcome = { endedByLethal: 0, laterArrivals: 0, innocent: 0, refusedWrongly: 0, lost: 0 }
  readonly hub: FakeHub
  readonly store = new MemoryObjectStore({ clock: this.clock })
  readonly servers: Server[]
  instances: Instance[]
  private readonly random: RandomSource
  private incarnations = 0
  private poisonRequests = 0
  private thirdCrashAt = Infinity

  constructor (private readonly scenario: Scenario, private readonly rule: SuspectRule, seed: number) {
    this.random = new RandomSource(seed)
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(seed + 1) })
    this.hub.maxDelayMs = MAX_MESSAGE_DELAY_MS
    this.servers = Array.from({ length: scenario.servers }, () => this.createServer())
    this.instances = Array.from({ length: scenario.instances }, (_, at) => this.startInstance(`e${at}`))
  }

  async play (): Promise<ScenarioOutcome> {
    const { lastsMs, rate, lethalEveryMs = Infinity, atOnce = 1, endsEveryMs = Infinity, endsTogether = 1, restartEveryMs = Infinity } = this.scenario
    for (let ms = 0; ms < lastsMs; ms += TICK_MS) {
      const isDue = (everyMs: number): boolean => ms > 0 && ms % everyMs === 0
      if (this.random.readFraction() < rate * TICK_MS / 1000) void this.sendHarmless()
      if (isDue(lethalEveryMs)) for (let at = 0; at < atOnce; at++) void this.sendPoison()
      if (isDue(endsEveryMs)) this.crashServers(endsTogether)
      if (isDue(restartEveryMs)) this.restartAll()
      await this.clock.advance(TICK_MS)
    }
    // Wait for the remaining runs to finish.
    await this.clock.advance(this.scenario.runMs * MAX_ATTEMPTS * MAX_CLIENT_TRIES + SERVER_RESTART_MS)
    return this.outcome
  }

  /** Kills all instances at once and starts new ones without any records. */
  restartAll (): void {
    for (const { controller } of this.instances) controller.abort()
    this.instances = this.instances.map(({ name }) => this.startInstance(name))
  }

  /** Kills one instance and starts a new one of the same name without any records. */
  restart (at: number): void {
    const { controller, name } = this.instances[at] as Instance
    controller.abort()
    this.instances[at] = this.startInstance(name)
    for (const other of this.instances) if (other.name !== name) this.hub.findNode(other.name)?.events.next(this.createHeardEvent(name))
  }

  /** Sends the poison request once to an instance, by default a random one. */
  async sendPoison (at = this.random.readBelow(this.instances.length)): Promise<void> {
    const instance = this.instances[at % this.instances.length] as Instance
    await this.tryInstance(instance, this.createPoison(), () => this.countPoisonArrival())
  }

  private createPoison (): SimulatedRequest {
    if (!this.scenario.isPoisonPart) return { identity: 'poison', shared: [], isPoison: true }
    return { identity: `p${this.poisonRequests++}`, shared: [COMMON_TRAIT, POISON_TRAIT, this.pickTopic()], isPoison: true }
  }

  private pickTopic (): string {
    return `part/topic${this.random.readBelow(TOPICS)}`
  }

  private async sendHarmless (): Promise<void> {
    const identity = this.random.readFraction() < this.scenario.sameShare ? 'same' : `i${this.outcome.innocent}`
    this.outcome.innocent++
    const request = { identity, shared: this.scenario.isPoisonPart ? [COMMON_TRAIT, this.pickTopic()] : [], isPoison: false }
    let wasRejected = false
    for (let attempt = 0; attempt < MAX_CLIENT_TRIES; attempt++) {
      const result = await this.tryInstance(this.random.pickOne(this.instances), request)
      if (result === 'served') return
      if (result === 'rejected' && !wasRejected) this.outcome.refusedWrongly++
      wasRejected ||= result === 'rejected'
      await this.clock.wait(TICK_MS)
    }
    this.outcome.lost++
  }

  /** One client try at one instance, with the gateway's attempts. */
  private async tryInstance ({ quarantine }: Instance, request: SimulatedRequest, onArrival: () => void = () => undefined): Promise<'served' | 'failed' | 'rejected'> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const run = await quarantine.acquire(request, this.scenario.runMs * 2, NEVER_ABORTED)
      if (!run) return 'rejected'
      const verdict = quarantine.judge(request)
      const server = await this.waitForServer(verdict === Verdicts.EXCLUSIVE)
      if (!server) {
        run.release()
        return 'failed'
      }
      onArrival()
      const isSuccess = await this.runAttempt({ quarantine, request, run, server, isSuspect: verdict !== Verdicts.ALLOWED })
      if (isSuccess) return 'served'
    }
    return 'failed'
  }

  private async runAttempt ({ quarantine, request, run, server, isSuspect }: Attempt): Promise<boolean> {
    const sentAt = this.clock.readTime()
    let hadBegun = false
    const onBegun = (): boolean => {
      hadBegun = true
      quarantine.recordBegun(request)
      const isAccused = quarantine.isAccused(request)
      if (!isAccused) run.release()
      return isSuspect && isAccused
    }
    const isSuccess = await this.runOnServer(server, { isPoison: request.isPoison, isSuspect, onBegun })
    if (isSuccess) quarantine.recordServed(request)
    else quarantine.recordCrash(request, { life: server.incarnation, sentAt, hadBegun, wasExclusive: run.isExclusive })
    run.release()
    return isSuccess
  }

  private async waitForServer (mustBeApart: boolean): Promise<Server | undefined> {
    for (let waitedMs = 0; waitedMs <= MAX_SLOT_WAIT_MS; waitedMs += TICK_MS) {
      const server = this.chooseServer(mustBeApart)
      if (server) return server
      await this.clock.wait(TICK_MS)
    }
    return undefined
  }

  private chooseServer (mustBeApart: boolean): Server | undefined {
    const countSuspects = (server: Server): number => [...server.running].filter((run) => run.isSuspect).length
    const up = this.servers.filter((server) => server.isUp && !(mustBeApart && countSuspects(server) > 0))
    const rate = (server: Server): number => server.running.size + countSuspects(server) * SUSPECT_COST + this.random.readFraction()
    const rated = up.map((server) => ({ server, cost: rate(server) }))
    return rated.length === 0 ? undefined : rated.reduce((best, it) => it.cost < best.cost ? it : best).server
  }

  private runOnServer (server: Server, { isPoison, isSuspect, onBegun }: Pick<Run, 'isPoison' | 'isSuspect' | 'onBegun'>): Promise<boolean> {
    return new Promise((resolve) => {
      const run: Run = {
        isPoison,
        isSuspect,
        onBegun,
        finish: (isSuccess) => {
          if (server.running.delete(run)) resolve(isSuccess)
        },
      }
      server.running.add(run)
      if (isPoison) this.clock.setTimer(CRASH_DELAY_MS, () => this.crashServer(server, true))
      else this.clock.setTimer(Math.min(BEGIN_MS, this.scenario.runMs), () => this.beginRun(server, run))
    })
  }

  private beginRun (server: Server, run: Run): void {
    if (!server.running.has(run)) return
    run.isSuspect = run.onBegun()
    this.clock.setTimer(Math.max(0, this.scenario.runMs - BEGIN_MS), () => run.finish(true))
  }

  private crashServers (count: number): void {
    const up = this.servers.filter((server) => server.isUp)
    for (const server of up.slice(0, count)) this.crashServer(server, false)
  }

  private crashServer (server: Server, byPoison: boolean): void {
    if (!server.isUp) return
    server.isUp = false
    if (byPoison && ++this.outcome.endedByLethal === 3) this.thirdCrashAt = this.clock.readTime()
    for (const run of [...server.running]) run.finish(false)
    this.clock.setTimer(SERVER_RESTART_MS, () => {
      const at = this.servers.indexOf(server)
      this.servers[at] = this.createServer()
    })
  }

  private countPoisonArrival (): void {
    if (this.clock.readTime() > this.thirdCrashAt + LATE_ARRIVAL_MS) this.outcome.laterArrivals++
  }

  private createServer (): Server {
    return { incarnation: `s${this.incarnations++}`, isUp: true, running: new Set() }
  }

  private createHeardEvent (name: string): PeerEvent {
    return { kind: 'heard', identity: createIdentity(name), isNewLink: true }
  }

  private startInstance (name: string): Instance {
    const identity = createIdentity(name)
    const network = this.hub.createNode(identity)
    const controller = new AbortController()
    const membership = { instance: name, listServing: () => network.listLinked() }
    const quarantine = new Quarantine({ clock: this.clock, network, membership, rule: this.rule, store: this.store })
    quarantine.start(controller.signal)
    return { name, quarantine, controller }
  }
}

function createIdentity (name: string): PeerIdentity {
  return { instance: name, incarnation: 0, address: name, peerAddress: name, region: 'r', dataHall: 'h', leaving: false }
}
