import type { RoutedOutcome } from '@pulleystack/gateway.routed'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const LATENCY_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.5, 3, 5, 10, 15]

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

  constructor (opts: { fleet: BackendFleet, mesh: InstanceMesh, readConfigVersion: () => number, readWaiting: () => number }) {
    this.addGauge('config_version', 'Version of the routing configuration in force', opts.readConfigVersion)
    this.addGauge('backends', 'Backend servers known', () => opts.fleet.listAll().length)
    this.addGauge('peers', 'Other instances with a live link', () => opts.mesh.listLive().length)
    this.addGauge('waiting_requests', 'Requests that wait for a place', opts.readWaiting)
  }

  countOutcome (outcome: RoutedOutcome): void {
    const { service, status, code, ms } = outcome
    this.outcomes.inc({ service, status, code })
    this.latency.observe({ service }, ms / 1000)
  }

  /** The figures as text. */
  render (): Promise<string> {
    return this.registry.metrics()
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
