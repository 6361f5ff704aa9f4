import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { FakeHub } from '@pulleystack/membership.fake-network'
import type { PeerEvent, PeerIdentity } from '@pulleystack/membership.peers'
import { Quarantine, Verdicts, type SuspectRule, type SuspectRun } from '../src/index.js'

/** A server begins to run a lethal request at once and ends so much later; the record of one shows 40 to 130 ms. */
const LETHAL_MS = 50
/** A server that ended is back after so long. */
const RETURN_MS = 3_000
/** Later arrivals are those that come so long after the third end. */
const LATER_MS = 3_000
const MAX_ATTEMPTS = 2
/** Tries of one client. */
const MAX_TRIES = 2
const TICK_MS = 10
/** As the choice of servers weighs a suspect against requests beside it. */
const SUSPECT_COST = 40
/** A request waits for a place so long at most. */
const PATIENCE_MS = 2_000
const NEVER_ENDED = new AbortController().signal
/** Messages between instances take so long at most. */
const DELAY_MS = 5

/** What comes, and what happens to servers by itself; times in milliseconds. */
export interface Scenario {
  instances: number
  servers: number
  lastsMs: number
  /** Innocent requests a second, how long a server runs them, and the share of them that ask the same. */
  rate: number
  runMs: number
  sameShare: number
  /** When the lethal request comes, and how many at once. */
  lethalEveryMs?: number
  atOnce?: number
  /** Servers that end by themselves, how often and how many together. */
  endsEveryMs?: number
  endsTogether?: number
  /** All instances are killed and started anew so often. */
  restartEveryMs?: number
}

/** What became of it. */
export interface ScenarioOutcome {
  endedByLethal: number
  /** Arrivals of the lethal request later than 3 s after it ended the third server. */
  laterArrivals: number
  innocent: number
  /** Innocent requests that were refused at least once as suspects, and ones that were not served in any of their tries. */
  refusedWrongly: number
  lost: number
}

interface Server {
  life: string
  isUp: boolean
  running: Set<Run>
}

interface Run {
  identity: string
  isSuspect: boolean
  end: (isWhole: boolean) => void
}

interface Instance {
  name: string
  quarantine: Quarantine
  ended: AbortController
}

/** Instances before servers in simulated time, with one rule; the same seed gives the same arrivals to every rule. */
export class QuarantineBench {
  readonly clock = new ManualClock()
  readonly outcome: ScenarioOutcome = { endedByLethal: 0, laterArrivals: 0, innocent: 0, refusedWrongly: 0, lost: 0 }
  readonly hub: FakeHub
  readonly store = new MemoryObjectStore({ clock: this.clock })
  readonly servers: Server[]
  instances: Instance[]
  private readonly random: RandomSource
  private lives = 0
  private thirdEndAt = Infinity

  constructor (private readonly scenario: Scenario, private readonly rule: SuspectRule, seed: number) {
    this.random = new RandomSource(seed)
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(seed + 1) })
    this.hub.maxDelayMs = DELAY_MS
    this.servers = Array.from({ length: scenario.servers }, () => this.createServer())
    this.instances = Array.from({ length: scenario.instances }, (_, at) => this.startInstance(`e${at}`))
  }

  async play (): Promise<ScenarioOutcome> {
    const { lastsMs, rate, lethalEveryMs = Infinity, atOnce = 1, endsEveryMs = Infinity, endsTogether = 1, restartEveryMs = Infinity } = this.scenario
    for (let ms = 0; ms < lastsMs; ms += TICK_MS) {
      const isDue = (everyMs: number): boolean => ms > 0 && ms % everyMs === 0
      if (this.random.readFraction() < rate * TICK_MS / 1000) void this.bringInnocent()
      if (isDue(lethalEveryMs)) for (let at = 0; at < atOnce; at++) void this.bringLethal()
      if (isDue(endsEveryMs)) this.endSome(endsTogether)
      if (isDue(restartEveryMs)) this.restartAll()
      await this.clock.advance(TICK_MS)
    }
    // Whatever runs comes to its end.
    await this.clock.advance(this.scenario.runMs * MAX_ATTEMPTS * MAX_TRIES + RETURN_MS)
    return this.outcome
  }

  /** All instances end at once, and others start that know nothing. */
  restartAll (): void {
    for (const { ended } of this.instances) ended.abort()
    this.instances = this.instances.map(({ name }) => this.startInstance(name))
  }

  /** One instance ends, and one of the same name starts that knows nothing. */
  restart (at: number): void {
    const { ended, name } = this.instances[at] as Instance
    ended.abort()
    this.instances[at] = this.startInstance(name)
    for (const other of this.instances) if (other.name !== name) this.hub.findNode(other.name)?.events.next(this.createHeard(name))
  }

  /** The lethal request comes once to some instance. */
  async bringLethal (at = this.random.readBelow(this.instances.length)): Promise<void> {
    const instance = this.instances[at % this.instances.length] as Instance
    await this.tryAt(instance, 'lethal', () => this.noteLethalArrival())
  }

  private async bringInnocent (): Promise<void> {
    const identity = this.random.readFraction() < this.scenario.sameShare ? 'same' : `i${this.outcome.innocent}`
    this.outcome.innocent++
    let wasRefused = false
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const result = await this.tryAt(this.random.pickOne(this.instances), identity)
      if (result === 'whole') return
      if (result === 'refused' && !wasRefused) this.outcome.refusedWrongly++
      wasRefused ||= result === 'refused'
      await this.clock.wait(TICK_MS)
    }
    this.outcome.lost++
  }

  /** One try of a client at one instance, as the gateway makes it. */
  private async tryAt ({ quarantine }: Instance, identity: string, onArrival: () => void = () => undefined): Promise<'whole' | 'broken' | 'refused'> {
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      const run = await quarantine.acquire(identity, this.scenario.runMs * 2, NEVER_ENDED)
      if (!run) return 'refused'
      const verdict = quarantine.judge(identity)
      const server = await this.waitForServer(verdict === Verdicts.ALONE)
      if (!server) {
        run.release()
        return 'broken'
      }
      onArrival()
      const isWhole = await this.runAt(server, { identity, isSuspect: verdict !== Verdicts.FREE })
      this.noteOutcome(quarantine, { identity, run, isWhole, life: server.life })
      if (isWhole) return 'whole'
    }
    return 'broken'
  }

  private noteOutcome (quarantine: Quarantine, { identity, run, isWhole, life }: { identity: string, run: SuspectRun, isWhole: boolean, life: string }): void {
    if (isWhole) quarantine.noteGoodEnd(identity)
    else quarantine.noteServerEnd(identity, { life, wasOnlyRun: run.isOnly })
    run.release()
  }

  private async waitForServer (mustBeApart: boolean): Promise<Server | undefined> {
    for (let waitedMs = 0; waitedMs <= PATIENCE_MS; waitedMs += TICK_MS) {
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

  private runAt (server: Server, { identity, isSuspect }: Omit<Run, 'end'>): Promise<boolean> {
    return new Promise((resolve) => {
      const run: Run = {
        identity,
        isSuspect,
        end: (isWhole) => {
          server.running.delete(run)
          resolve(isWhole)
        },
      }
      server.running.add(run)
      if (identity === 'lethal') this.clock.setTimer(LETHAL_MS, () => this.endServer(server, true))
      else this.clock.setTimer(this.scenario.runMs, () => run.end(true))
    })
  }

  private endSome (count: number): void {
    const up = this.servers.filter((server) => server.isUp)
    for (const server of up.slice(0, count)) this.endServer(server, false)
  }

  private endServer (server: Server, byLethal: boolean): void {
    if (!server.isUp) return
    server.isUp = false
    if (byLethal && ++this.outcome.endedByLethal === 3) this.thirdEndAt = this.clock.readTime()
    for (const run of [...server.running]) run.end(false)
    this.clock.setTimer(RETURN_MS, () => {
      const at = this.servers.indexOf(server)
      this.servers[at] = this.createServer()
    })
  }

  private noteLethalArrival (): void {
    if (this.clock.readTime() > this.thirdEndAt + LATER_MS) this.outcome.laterArrivals++
  }

  private createServer (): Server {
    return { life: `s${this.lives++}`, isUp: true, running: new Set() }
  }

  private createHeard (name: string): PeerEvent {
    return { kind: 'heard', identity: createIdentity(name), isNewLink: true }
  }

  private startInstance (name: string): Instance {
    const identity = createIdentity(name)
    const network = this.hub.createNode(identity)
    const ended = new AbortController()
    const standing = { instance: name, listServing: () => network.listLinked() }
    const quarantine = new Quarantine({ clock: this.clock, network, standing, rule: this.rule, store: this.store })
    quarantine.start(ended.signal)
    return { name, quarantine, ended }
  }
}

function createIdentity (name: string): PeerIdentity {
  return { instance: name, incarnation: 0, address: name, peerAddress: name, region: 'r', dataHall: 'h', leaving: false }
}
