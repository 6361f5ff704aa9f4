import type { FinishedRequest } from '@pulleystack/gateway.callers'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

const LATENCY_BUCKETS = [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.35, 0.5, 1, 2.5, 5, 10, 60, 300]

/** Metrics of one instance, served at GET /metrics. Gauges are read on each scrape. */
export class Metrics {
  readonly registry = new Registry()
  private readonly requests = new Counter({
    name: 'pulleystack_requests_total',
    help: 'Completed requests',
    labelNames: ['partner', 'route', 'status', 'code'],
    registers: [this.registry],
  })

  private readonly latency = new Histogram({
    name: 'pulleystack_request_seconds',
    help: 'Time from the arrival of a request to the end of its response',
    labelNames: ['partner', 'route'],
    buckets: LATENCY_BUCKETS,
    registers: [this.registry],
  })

  private readonly events = new Counter({ name: 'pulleystack_events_total', help: 'Timeline events by kind', labelNames: ['kind'], registers: [this.registry] })

  countRequest (finished: FinishedRequest): void {
    const { partner, route, status, code, ms } = finished
    this.requests.inc({ partner, route, status, code })
    this.latency.observe({ partner, route }, ms / 1000)
  }

  countEvent (kind: string): void {
    this.events.inc({ kind })
  }

  /** Adds a gauge whose value is read on each scrape. */
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
