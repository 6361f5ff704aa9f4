import type { StoreEpochs } from '@pulleystack/backend.interfaces'
import type { QuotaOutcome, RoutedOutcome } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { WebSocketNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { PaceEstimate } from '@pulleystack/routing.pace'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 5, 10, 15]

/** Maximum number of teams with their own label; further teams share one. */
const MAX_TEAM_LABELS = 64
const OTHER_TEAMS = 'others'

/** Sources of the metrics. */
export interface EntryMetricsOptions {
  fleet: Pick<BackendFleet, 'listAll' | 'contacts' | 'brittle'>
  mesh: Pick<InstanceMesh, 'listLinked'>
  network: Pick<WebSocketNetwork, 'backlogBytes' | 'unsentFrames'>
  epochs: Pick<StoreEpochs, 'newest' | 'changes'>
  readConfigVersion: () => number
  countWaiting: () => number
  countSuspects: () => number
  /** Replicas of this instance; empty until it serves. */
  listReplicas: () => readonly { prefix: string, ageMs: number }[]
  readTimerDelayMs: () => number
  /** Monotonic time in milliseconds. */
  readTime: () => number
  countForwarded: () => number
  /** Pace estimates of the servers of heterogeneous services. */
  listPaces: () => readonly ListedPace[]
}

export interface ListedPace {
  server: string
  pace: PaceEstimate
}

/** Metrics of one entry instance; gauges are read on each scrape. */
export class EntryMetrics {
  readonly registry = new Registry()
  private readonly outcomes = new Counter({
    name: 'pulleystack_routed_requests_total',
    help: 'Completed routed requests',
    labelNames: ['service', 'status', 'code'],
    registers: [this.registry],
  })

  private readonly latency = new Histogram({
    name: 'pulleystack_routed_request_seconds',
    help: 'Time from the arrival of a request to the end of its response',
    labelNames: ['service'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  })

  private readonly units = new Counter({
    name: 'pulleystack_team_units_total',
    help: 'Tokens or requests requested by teams, by outcome',
    labelNames: ['team', 'outcome'],
    registers: [this.registry],
  })

  private readonly teams = new Set<string>()

  constructor (opts: EntryMetricsOptions) {
    this.addGauge('config_version', 'Version of the active routing configuration', opts.readConfigVersion)
    this.addGauge('backends', 'Known backend servers', () => opts.fleet.listAll().length)
    this.addGauge('cut_off', '1 while this instance reaches no backend server', () => opts.fleet.contacts.isCutOff ? 1 : 0)
    this.addGauge('lost_paths', 'Backend servers that only other instances can reach', () => opts.fleet.listAll().filter(({ path }) => path.isLost).length)
    this.addGauge('brittle_services', 'Services whose servers reported in the last minute that they are brittle', () => opts.fleet.brittle.count(opts.readTime()))
    this.addGauge('peers', 'Other instances with a live link', () => opts.mesh.listLinked().length)
    this.addGauge('waiting_requests', 'Requests waiting for a slot', opts.countWaiting)
    this.addGauge('suspect_requests', 'Server crashes on record, one for each request that was running', opts.countSuspects)
    this.addGauge('peer_backlog_bytes', 'Bytes waiting to be sent to peers', () => opts.network.backlogBytes)
    this.addGauge('timer_delay_seconds', 'Longest timer delay in the last seconds', () => opts.readTimerDelayMs() / 1000)
    this.addGauge('store_epoch', 'Last seen epoch of the store; 0 if the store reports none', () => opts.epochs.newest ?? 0)
    this.addReplicaAges(opts.listReplicas)
    this.addRestores(opts.epochs)
    this.addCount('frames_not_sent_total', 'Messages to peers dropped because of a full send buffer', () => opts.network.unsentFrames)
    this.addCount('forwarded_attempts_total', 'Attempts sent to other instances, since this one could not reach the servers', opts.countForwarded)
    this.addPaces('tokens_per_ms', 'Estimated prompt tokens that a server processes per millisecond', () => opts.listPaces(), 'tokensPerMs')
    this.addPaces('pace_confidence', 'Confidence of the estimated pace of a server, from 0 to 1', () => opts.listPaces(), 'confidence')
  }

  countOutcome (outcome: RoutedOutcome): void {
    const { service, status, code, ms } = outcome
    this.outcomes.inc({ service, status, code })
    this.latency.observe({ service }, ms / 1000)
  }

  countUnits (team: string, outcome: QuotaOutcome, units: number): void {
    if (this.teams.size < MAX_TEAM_LABELS) this.teams.add(team)
    this.units.inc({ team: this.teams.has(team) ? team : OTHER_TEAMS, outcome }, units)
  }

  /** Renders all metrics in the Prometheus text format. */
  render (): Promise<string> {
    return this.registry.metrics()
  }

  private addReplicaAges (listReplicas: EntryMetricsOptions['listReplicas']): void {
    new Gauge({
      name: 'pulleystack_copy_age_seconds',
      help: 'Time since a replica was last known to match the store; infinite if it never was',
      labelNames: ['prefix'],
      registers: [this.registry],
      collect () {
        for (const { prefix, ageMs } of listReplicas()) this.set({ prefix }, ageMs / 1000)
      },
    })
  }

  private addRestores (epochs: EntryMetricsOptions['epochs']): void {
    const restores = new Counter({
      name: 'pulleystack_store_restores_total',
      help: 'Detected restores of the store from an older snapshot',
      registers: [this.registry],
    })
    epochs.changes.subscribe(({ previous }) => {
      if (previous !== undefined) restores.inc()
    })
  }

  /** Adds a counter that is kept elsewhere. */
  private addCount (name: string, help: string, read: () => number): void {
    new Counter({
      name: `pulleystack_${name}`,
      help,
      registers: [this.registry],
      collect () {
        this.reset()
        this.inc(read())
      },
    })
  }

  /** Adds a counter with one label that is kept elsewhere; its name gets the prefix of all metrics. */
  addCounts (name: string, help: string, label: string, read: () => ReadonlyMap<string, number>): void {
    new Counter({
      name: `pulleystack_${name}`,
      help,
      labelNames: [label],
      registers: [this.registry],
      collect () {
        this.reset()
        for (const [value, count] of read()) this.inc({ [label]: value }, count)
      },
    })
  }

  private addPaces (name: string, help: string, listPaces: EntryMetricsOptions['listPaces'], field: 'tokensPerMs' | 'confidence'): void {
    new Gauge({
      name: `pulleystack_server_${name}`,
      help,
      labelNames: ['server'],
      registers: [this.registry],
      collect () {
        // Servers that were removed are left out.
        this.reset()
        for (const { server, pace } of listPaces()) this.set({ server }, pace[field])
      },
    })
  }

  /** Adds a gauge that is read on each scrape; its name gets the prefix of all metrics. */
  addGauge (name: string, help: string, read: () => number): void {
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
