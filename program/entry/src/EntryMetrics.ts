import type { StoreEpochs } from '@pulleystack/backend.interfaces'
import type { QuotaOutcome, RoutedOutcome } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 5, 10, 15]

/** Teams with figures of their own; the rest are counted together. */
const MAX_TEAMS = 64
const OTHER_TEAMS = 'others'

/** What the figures are read from. */
export interface EntryMetricsOptions {
  fleet: Pick<BackendFleet, 'listAll'>
  mesh: Pick<InstanceMesh, 'listLinked'>
  network: Pick<WebSocketNetwork, 'backlogBytes' | 'unsentFrames'>
  epochs: Pick<StoreEpochs, 'newest' | 'changes'>
  readConfigVersion: () => number
  readWaiting: () => number
  readSuspects: () => number
  /** The copies that this instance holds; none before it serves. */
  listCopies: () => readonly { prefix: string, ageMs: number }[]
  readTimerDelayMs: () => number
}

/** Figures of one entry instance; gauges are read when asked for. */
export class EntryMetrics {
  readonly registry = new Registry()
  private readonly outcomes = new Counter({
    name: 'pulleystack_routed_requests_total',
    help: 'Routed requests answered',
    labelNames: ['service', 'status', 'code'],
    registers: [this.registry],
  })

  private readonly latency = new Histogram({
    name: 'pulleystack_routed_request_seconds',
    help: 'Time from arrival to the end of the answer',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  })

  private readonly units = new Counter({
    name: 'pulleystack_team_units_total',
    help: 'Tokens or requests that teams asked for, by what became of them',
    labelNames: ['team', 'outcome'],
    registers: [this.registry],
  })

  private readonly teams = new Set<string>()

  constructor (opts: EntryMetricsOptions) {
    this.addGauge('config_version', 'Version of the routing configuration in force', opts.readConfigVersion)
    this.addGauge('backends', 'Backend servers known', () => opts.fleet.listAll().length)
    this.addGauge('peers', 'Other instances with a live link', () => opts.mesh.listLinked().length)
    this.addGauge('waiting_requests', 'Requests that wait for a place', opts.readWaiting)
    this.addGauge('suspect_requests', 'Requests that are remembered since a server ended under them', opts.readSuspects)
    this.addGauge('peer_backlog_bytes', 'Bytes that wait to leave for peers', () => opts.network.backlogBytes)
    this.addGauge('timer_delay_seconds', 'Longest delay of a timer in the last seconds', () => opts.readTimerDelayMs() / 1000)
    this.addGauge('store_epoch', 'Epoch of the store that was seen last; 0 where it names none', () => opts.epochs.newest ?? 0)
    this.addCopyAges(opts.listCopies)
    this.addRestores(opts.epochs)
    this.addUnsentFrames(() => opts.network.unsentFrames)
  }

  countOutcome (outcome: RoutedOutcome): void {
    const { service, status, code, ms } = outcome
    this.outcomes.inc({ service, status, code })
    this.latency.observe({ service }, ms / 1000)
  }

  countUnits (team: string, outcome: QuotaOutcome, units: number): void {
    if (this.teams.size < MAX_TEAMS) this.teams.add(team)
    this.units.inc({ team: this.teams.has(team) ? team : OTHER_TEAMS, outcome }, units)
  }

  /** The figures as text. */
  render (): Promise<string> {
    return this.registry.metrics()
  }

  private addCopyAges (listCopies: EntryMetricsOptions['listCopies']): void {
    new Gauge({
      name: 'pulleystack_copy_age_seconds',
      help: 'Time since a copy was known to be what the store holds; infinite when that was never known',
      labelNames: ['prefix'],
      registers: [this.registry],
      collect () {
        for (const { prefix, ageMs } of listCopies()) this.set({ prefix }, ageMs / 1000)
      },
    })
  }

  private addRestores (epochs: EntryMetricsOptions['epochs']): void {
    const restores = new Counter({
      name: 'pulleystack_store_restores_total',
      help: 'Times that the store was seen to have come back from an older copy',
      registers: [this.registry],
    })
    epochs.changes.subscribe(({ previous }) => {
      if (previous !== undefined) restores.inc()
    })
  }

  private addUnsentFrames (read: () => number): void {
    new Counter({
      name: 'pulleystack_frames_not_sent_total',
      help: 'Messages to peers left out since too much waited to leave',
      registers: [this.registry],
      collect () {
        this.reset()
        this.inc(read())
      },
    })
  }

  private addGauge (name: string, help: string, read: () => number): void {
    new Gauge({
      name: `pulleystack_${name}`,
      help,
      registers: [this.registry],
      collect () {
        this.set(read())
      },
    })
  }
}
