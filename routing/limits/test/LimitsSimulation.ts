import { QuotaUnits, RouteTable, type Team, type TeamQuota } from '@pulleystack/config.routes'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { CountedLimits, PooledLimits, type RateBounds, type TeamLimits } from '../src/index.js'

export const BOUNDS: RateBounds = { windowMs: 8_000, toleranceShare: 0.1, toleranceUnits: 110_000 }
const RESTART_DELAY_MS = 500
/** Time until the failure of a link is detected. */
const SUSPICION_DELAY_MS = 2_400

export const Strategies = { POOLED: 'pooled', COUNTED: 'counted' } as const
export type Strategy = typeof Strategies[keyof typeof Strategies]

/** Units taken by one request. */
interface Use {
  at: number
  units: number
}

/** One process run of an instance. */
interface ProcessRun {
  limits: TeamLimits
  network: FakeNetwork
  controller: AbortController
}

export interface LimitsSimulationOptions {
  /** Numbers of serving instances and of instances on standby. */
  serving: number
  standby: number
  strategy?: Strategy
  seed?: number
}

/** Simulates several instances that enforce one team's quota and are restarted or partitioned. */
export class LimitsSimulation {
  readonly clock = new ManualClock()
  readonly hub: FakeHub
  readonly serving: string[]
  readonly uses: Use[] = []
  rejected = 0
  /** Time from each request to its verdict. */
  readonly waitsMs: number[] = []
  private readonly names: string[]
  private readonly runs = new Map<string, ProcessRun>()
  /** When the link of two instances was cut; they consider it open for another `SUSPICION_DELAY_MS`. */
  private readonly cutAt = new Map<string, number>()
  private table: RouteTable
  private team: Team

  constructor (private readonly opts: LimitsSimulationOptions, quota: TeamQuota) {
    this.hub = new FakeHub({ clock: this.clock, random: new RandomSource(opts.seed ?? 5) })
    this.hub.maxDelayMs = 3
    this.serving = Array.from({ length: opts.serving }, (_, at) => `e${at}`)
    this.names = [...this.serving, ...Array.from({ length: opts.standby }, (_, at) => `s${at}`)]
    this.team = createTeam(quota)
    this.table = createTable(this.team)
    for (const name of this.names) this.start(name)
  }

  setQuota (quota: TeamQuota): void {
    this.team = createTeam(quota)
    this.table = createTable(this.team)
  }

  /** Sends a request to an instance and records its verdict. */
  request (at: number, units: number, onVerdict: (isGranted: boolean) => void = () => undefined): void {
    const run = this.runs.get(this.serving[at % this.serving.length] as string)
    if (!run) return
    const requestedAt = this.clock.readTime()
    const record = (isGranted: boolean): void => {
      if (isGranted) this.uses.push({ at: this.clock.readTime(), units })
      else this.rejected++
      this.waitsMs.push(this.clock.readTime() - requestedAt)
      onVerdict(isGranted)
    }
    void run.limits.acquire(this.team, units).then((verdict) => record(verdict.isGranted), () => record(false))
  }

  release (at: number, units: number): void {
    this.runs.get(this.serving[at % this.serving.length] as string)?.limits.release(this.team, units)
  }

  /** Kills an instance and restarts it after `RESTART_DELAY_MS`. */
  restart (name: string): void {
    const run = this.runs.get(name)
    if (!run) return
    run.controller.abort()
    this.runs.delete(name)
    this.hub.removeNode(name)
    this.clock.setTimer(RESTART_DELAY_MS, () => this.start(name))
  }

  /** Silently holds back messages between two instances until `heal` is called. */
  hold (one: string, other: string): void {
    if (one === other) return
    this.hub.hold(one, other)
    this.hub.hold(other, one)
    this.cutAt.set([one, other].sort().join(), this.clock.readTime())
  }

  heal (): void {
    this.cutAt.clear()
    this.hub.releaseAll()
  }

  /** Maximum number of units used in any window beyond a quota and its tolerance. */
  measureExcess ({ ratePerSecond, burst }: TeamQuota): number {
    const { windowMs, toleranceShare, toleranceUnits } = BOUNDS
    const allowed = (ratePerSecond * windowMs / 1000 + burst) * (1 + toleranceShare) + toleranceUnits
    const used = this.uses.map(({ at: from }) => this.uses.reduce((sum, use) => use.at >= from && use.at < from + windowMs ? sum + use.units : sum, 0))
    return Math.max(0, ...used) - allowed
  }

  private start (instance: string): void {
    const network = this.hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const controller = new AbortController()
    const { clock } = this
    const readTable = (): RouteTable => this.table
    const membership = {
      instance,
      countInstances: () => this.names.length,
      isServing: () => this.serving.includes(instance),
      listServing: () => network.listLinked().filter((other) => this.serving.includes(other) && !this.isSuspected(instance, other)),
    }
    const limits = (this.opts.strategy ?? Strategies.POOLED) === Strategies.POOLED
      ? new PooledLimits({ clock, network, membership, bounds: BOUNDS, readTable })
      : new CountedLimits({ clock, network, readTable })
    limits.start(controller.signal)
    this.runs.set(instance, { limits, network, controller })
  }

  private isSuspected (one: string, other: string): boolean {
    const since = this.cutAt.get([one, other].sort().join())
    return since !== undefined && this.clock.readTime() - since > SUSPICION_DELAY_MS
  }
}

/** A quota in tokens with a burst of one second. */
export function createQuota (ratePerSecond: number): TeamQuota {
  return { unit: QuotaUnits.TOKENS, ratePerSecond, burst: ratePerSecond, plainTokens: 200 }
}

function createTeam (quota: TeamQuota): Team {
  return { name: 'valuers', keyHashes: [], priority: undefined, quota }
}

function createTable (team: Team): RouteTable {
  return new RouteTable({ version: 1, routes: [], services: [], teams: [team], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
}
