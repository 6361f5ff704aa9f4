import { Kinds, type ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import { matchLabels } from '@pulleystack/config.selectors'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { findAllowedService, resolveModel } from '@pulleystack/gateway.callers'
import type { EligibleRunners, SlotAllocator } from '@pulleystack/routing.dispatch'
import type { Runner, RunnerTable } from '@pulleystack/routing.runners'

/** Why a backend server could or could not run the request. */
export interface ExplainedServer {
  server: string
  dataHall: string
  allowed: boolean
  ready: boolean
  hasRoom: boolean
  load: number
  limit: number
  ownInFlight: number
  why: string
}

export interface Explanation {
  caller: string
  service: string
  items: string[]
  servers: ExplainedServer[]
  conclusion: string
}

export interface ExplainOptions {
  clock: Clock
  index: ConfigIndex
  table: RunnerTable
  eligible: EligibleRunners
  slots: SlotAllocator
}

/** Explains on which backend servers a caller's request to a model or service could run now, and why not on others. */
export function explainRequest (opts: ExplainOptions, partner: string, callerName: string, target: { model?: string, service?: string }): Explanation {
  const caller = opts.index.findObject(Kinds.CALLER, partner, callerName)
  if (!caller) throw new PulleystackError('OBJECT_UNKNOWN', `Caller "${callerName}" does not exist`, { field: 'caller' })
  const { service, items, adapter } = findTarget(opts, caller, target)
  const work = { partner, service: service.name, items: items.length > 0 ? items : undefined, adapter }
  const ready = new Set(opts.slots.listReady(work).map((runner) => runner.id))
  const allowed = new Set(opts.eligible.list(partner, service.name).map((runner) => runner.id))
  const role = service.spec.type === 'model' ? 'engine' : 'plain'
  const runners = [...opts.table.listRunners()].filter((runner) => runner.server.role === role)
  const servers = runners.map((runner) => explainServer(opts, runner, service, { allowed, ready }))
  return { caller: callerName, service: service.name, items, servers, conclusion: describeConclusion(servers) }
}

function findTarget (opts: ExplainOptions, caller: ConfigObject<'Caller'>, target: { model?: string, service?: string }) {
  if (target.model !== undefined) return resolveModel(opts.index, caller, target.model)
  return { service: findAllowedService(opts.index, caller, target.service ?? ''), items: [], adapter: undefined }
}

function explainServer (
  opts: ExplainOptions,
  runner: Runner,
  service: ConfigObject<'Service'>,
  runnerIds: { allowed: Set<string>, ready: Set<string> },
): ExplainedServer {
  const allowed = runnerIds.allowed.has(runner.id)
  const ready = runnerIds.ready.has(runner.id)
  const hasRoom = opts.slots.hasFreeSlot(runner, { partner: service.partner, serviceClass: service.spec.class })
  const why = describeState(opts, runner, service, { allowed, ready, hasRoom })
  return {
    server: runner.id,
    dataHall: runner.server.dataHall,
    allowed,
    ready,
    hasRoom,
    load: runner.estimateLoad(),
    limit: runner.limiter.limit,
    ownInFlight: runner.ownInFlight,
    why,
  }
}

function describeState (
  opts: ExplainOptions,
  runner: Runner,
  service: ConfigObject<'Service'>,
  state: { allowed: boolean, ready: boolean, hasRoom: boolean },
): string {
  const { server } = runner
  const { spec, partner } = service
  if (server.leaving) return 'is draining'
  if (spec.dataHalls && !spec.dataHalls.includes(server.dataHall)) return `is in data hall ${server.dataHall}, which the service does not use`
  if (!matchLabels(spec.backendServers, opts.index.readServerLabels(partner, server.id, server.labels))) return 'does not match the service\'s label selector'
  if (!state.allowed) return 'does not offer this service'
  if (!state.ready) return 'does not have the model ready'
  if (runner.outlier.isEjected(opts.clock.readTime())) return 'is temporarily ejected after too many failures'
  return state.hasRoom ? 'can take it now' : 'has no capacity now; the request would wait'
}

function describeConclusion (servers: readonly ExplainedServer[]): string {
  const usable = servers.filter((server) => server.allowed && server.ready)
  const available = usable.filter((server) => server.hasRoom)
  if (available.length > 0) return `would run at once on ${available.map((server) => server.server).join(' or ')}`
  if (usable.length > 0) return `would wait for ${usable.map((server) => server.server).join(' or ')}`
  if (servers.some((server) => server.allowed)) return 'would wait until the model is loaded on an allowed server'
  return 'would be rejected: no server matches the service\'s selectors'
}
