import type { Route, RouteTable } from '@pulleystack/config.routes'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Backend } from '@pulleystack/routing.fleet'

/** One backend server's part in the explanation of a route. */
export interface ExplainedBackend {
  server: string
  dataHall: string
  /** Requests that all instances together have in hand there. */
  running: number
  slots: number
  why: string
}

/** One service that a route leads to. */
export interface ExplainedTarget {
  service: string
  /** Part of the route's requests that go there, from 0 to 1. */
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
  /** Monotone time. */
  now: number
  /** Partner whose routes may be shown; undefined for all. */
  partner: string | undefined
  host: string
  path: string
}

/** Says which route takes a host and path, and where its requests could run now. Throws NOT_FOUND when no route of the partner does. */
export function explainRoute (opts: ExplainRouteOptions): RouteExplanation {
  const route = opts.table.findRoute(opts.host, opts.path)
  const isShown = route !== undefined && (opts.partner === undefined || route.name.startsWith(`${opts.partner}/`))
  if (!isShown) throw new PulleystackError('NOT_FOUND', `No route takes ${opts.host}${opts.path}`, { hint: 'pulleystack get Route lists them.' })
  const targets = explainTargets(opts, route)
  const { name, host, pathPrefix, timeoutMs, maxAttempts, repeat } = route
  return { route: name, host, pathPrefix, timeoutMs, maxAttempts, repeat, targets, conclusion: conclude(targets) }
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
  return { server: id.split('|', 1)[0] as string, dataHall, running, slots, why: describe(backend, running, now) }
}

function describe (backend: Backend, running: number, now: number): string {
  if (backend.entry.draining) return 'is leaving'
  if (!backend.isReachable(now)) return 'could not be connected to and is left alone for a while'
  if (backend.reported.backoff.isActive(now)) return 'asked for rest and is left alone until then'
  if (backend.outlier.isEjected(now)) return 'failed too often and is left alone for a while'
  return running < backend.entry.slots ? 'can take it now' : 'has no free slot'
}

function conclude (targets: readonly ExplainedTarget[]): string {
  const used = targets.filter((target) => target.share > 0)
  const empty = used.filter((target) => target.servers.length === 0)
  if (used.length === 0) return 'would be refused: no target of the route has a weight'
  if (empty.length > 0) return `would be refused where it falls to ${empty.map((target) => target.service).join(' or ')}: no server is allowed by the service's selectors`
  const stuck = used.filter((target) => !target.servers.some((server) => server.why === 'can take it now'))
  if (stuck.length > 0) return `would wait where it falls to ${stuck.map((target) => target.service).join(' or ')}`
  return 'would run at once'
}
