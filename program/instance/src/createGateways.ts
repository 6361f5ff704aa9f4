import { AdminGateway, ConfigWriter, explainRequest, type Explanation } from '@pulleystack/gateway.admin'
import { CallerGateway } from '@pulleystack/gateway.callers'
import { PulleystackError } from '@pulleystack/core.errors'
import { defineChannel } from '@pulleystack/membership.peers'
import { InstanceRoles } from '@pulleystack/backend.interfaces'
import { RateLimiter } from '@pulleystack/routing.limiter'
import { collectTimeline } from '@pulleystack/timeline.merge'
import type { Control } from './createControl.js'
import { createRouted, type Routed } from './createRouted.js'
import type { Routing } from './createRouting.js'
import type { Core } from './startInstance.js'

type ExplainTarget = { model?: string, service?: string }

const EXPLAIN = defineChannel<{ partner: string, caller: string, target: ExplainTarget }, Explanation>('gateway.explain')
const EXPLAIN_TIMEOUT_MS = 2_000

/** The two interfaces that people and programs use. */
export interface Gateways {
  callers: CallerGateway
  admin: AdminGateway
  routed: Routed
}

export function createGateways (core: Core, routing: Routing, control: Control): Gateways {
  const { settings } = core
  const callers = new CallerGateway({
    ...core,
    ...routing,
    meter: control.meter,
    rateLimiter: new RateLimiter(),
    maxBodyBytes: settings.limits.bodyBytes,
    lifetimeSeconds: settings.directory.lifetimeSeconds,
    leastInstances: settings.directory.leastInstances,
    onFinished: (finished) => core.metrics.countRequest(finished),
  })
  const explainHere = (partner: string, caller: string, target: ExplainTarget): Explanation => explainRequest({ ...core, ...routing }, partner, caller, target)
  core.network.handleCalls(EXPLAIN, (_, body) => explainHere(body.partner, body.caller, body.target))
  const routed = createRouted(core, routing)
  const admin = new AdminGateway({
    ...core,
    operators: settings.operators,
    writer: createWriter(core),
    maxBodyBytes: settings.limits.bodyBytes,
    collectTimeline: (filter) => collectTimeline({ ...core, peers: listPeers(core) }, filter),
    collectStatus: () => control.collectStatus(),
    explain: (partner, caller, target) => explainAnywhere(core, callers, explainHere, { partner, caller, target }),
    explainRoute: routed.explain,
  })
  return { callers, admin, routed }
}

function createWriter (core: Core): ConfigWriter {
  const readCapacity = () => {
    const engines = core.view.listServers().filter((server) => server.role === InstanceRoles.ENGINE)
    return { acceleratorBytes: engines.map((server) => server.memoryBytes ?? 0) }
  }
  const view = {
    findObject: core.index.findObject.bind(core.index),
    listObjects: core.index.listObjects.bind(core.index),
    readCapacity,
  }
  return new ConfigWriter({ ...core, store: core.deps.store, view })
}

function listPeers (core: Core): string[] {
  return core.view.listMembers().filter((member) => member.instance !== core.settings.instance).map((member) => member.instance)
}

/** Asks an instance that serves the service, since only it knows the servers' state. */
async function explainAnywhere (
  core: Core,
  callers: CallerGateway,
  explainHere: (partner: string, caller: string, target: ExplainTarget) => Explanation,
  request: { partner: string, caller: string, target: ExplainTarget },
): Promise<Explanation> {
  const { partner, caller, target } = request
  const here = explainHere(partner, caller, target)
  const subset = callers.listServingInstances(partner, here.service)
  const first = subset[0]
  if (!first || subset.some((member) => member.instance === core.settings.instance)) return here
  const answer = await core.network.call(first.instance, EXPLAIN, request, EXPLAIN_TIMEOUT_MS)
  if (answer.isOk()) return answer.value
  throw new PulleystackError('INSTANCE_UNREACHABLE', `${first.instance} serves this and does not answer`, { cause: answer.error })
}
