import type { Route, RouteTable } from '@pulleystack/config.routes'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Backend } from '@pulleystack/routing.fleet'

/** Whether a backend server could take a request of the route, and why not. */
export interface ExplainedBackend {
  server: string
  dataHall: string
  /** Requests of all instances that are running on the server. */
  running: number
  slots: number
  why: string
}

/** A service to which a route sends requests. */
export interface ExplainedTarget {
  service: string
  /** Fraction of the route's requests sent to the service, from 0 to 1. */
  share: number
  servers: ExplainedBackend[]
}

export interface RouteExplanation {
  route: string
  host: string
  pathPrefix: string
  timeoutMs: number
  maxAttempts: number
  repeat: string
  targets: ExplainedTarget[]
  conclusion: string
}

export interface ExplainRouteOptions {
  table: RouteTable
  listBackends: (service: string) => readonly Backend[]
  /** Monotonic time in milliseconds. */
  now: number
  /** Partner whose routes may be explained; undefined for all partners. */
  partner: string | undefined
  host: string
  path: string
}

/** Explains which route matches a host and path, and where its requests could run now. Throws NOT_FOUND if no visible route matches. */
export function explainRoute (opts: ExplainRouteOptions): RouteExplanation {
  const route = opts.table.findRoute(opts.host, opts.path)
  const isVisible = route !== undefined && (opts.partner === undefined || route.name.startsWith(`${opts.partner}/`))
  if (!isVisible) throw new PulleystackError('NOT_FOUND', `No route matches ${opts.host}${opts.path}`, { hint: '"pulleystack get Route" lists the routes.' })
  const targets = explainTargets(opts, route)
  const { name, host, pathPrefix, timeoutMs, maxAttempts, repeat } = route
  return { route: name, host, pathPrefix, timeoutMs, maxAttempts, repeat, targets, conclusion: describeConclusion(targets) }
}

function explainTargets (opts: ExplainRouteOptions, route: Route): ExplainedTarget[] {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  return route.targets.map(({ service, weight }) => ({
    service,
    share: total > 0 ? weight / total : 0,
    servers: opts.listBackends(service).map((backend) => explainBackend(backend, opts.now)),
  }))
}

function explainBackend (backend: Backend, now: number): ExplainedBackend {
  const { id, dataHall, slots } = backend.entry
  const { running } = backend.readLoad()
  return { server: id.split('|', 1)[0] as string, dataHall, running, slots, why: describeState(backend, running, now) }
}

function describeState (backend: Backend, running: number, now: number): string {
  if (backend.entry.draining) return 'is draining'
  if (!backend.isReachable(now)) return 'is skipped for a while after a failed connection'
  if (backend.reported.backoff.isActive(now)) return 'is in a backoff that it requested'
  if (backend.outlier.isEjected(now)) return 'is temporarily ejected after too many failures'
  return running < backend.entry.slots ? 'can take it now' : 'has no free slot'
}

function describeConclusion (targets: readonly ExplainedTarget[]): string {
  const used = targets.filter((target) => target.share > 0)
  const unserved = used.filter((target) => target.servers.length === 0)
  if (used.length === 0) return 'would be rejected: no target of the route has a positive weight'
  if (unserved.length > 0) return `would be rejected when sent to ${unserved.map((target) => target.service).join(' or ')}: no server matches the service's selectors`
  const saturated = used.filter((target) => !target.servers.some((server) => server.why === 'can take it now'))
  if (saturated.length > 0) return `would wait when sent to ${saturated.map((target) => target.service).join(' or ')}`
  return 'would run at once'
}
