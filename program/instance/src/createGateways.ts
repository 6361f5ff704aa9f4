import { HeldBytes } from '@pulleystack/gateway.http'
import { AdminGateway, ConfigWriter, explainRequest, type Explanation } from '@pulleystack/gateway.admin'
import { CallerGateway } from '@pulleystack/gateway.callers'
import { PulleystackError } from '@pulleystack/core.errors'
import { defineChannel } from '@pulleystack/membership.peers'
import { InstanceRoles } from '@pulleystack/backend.interfaces'
import { RateLimiter } from '@pulleystack/routing.limiter'
import { collectTimeline } from '@pulleystack/timeline.merge'
import type { Control } from './createControl.js'
import { createRoutedRequests, type RoutedRequests } from './createRoutedRequests.js'
import type { Routing } from './createRouting.js'
import type { Core } from './startInstance.js'

type ExplainTarget = { model?: string, service?: string }

const EXPLAIN = defineChannel<{ partner: string, caller: string, target: ExplainTarget }, Explanation>('gateway.explain')
const EXPLAIN_TIMEOUT_MS = 2_000

/** Gateways for callers, operators and routed requests. */
export interface Gateways {
  callers: CallerGateway
  admin: AdminGateway
  routed: RoutedRequests
}

export function createGateways (core: Core, routing: Routing, control: Control): Gateways {
  const { settings } = core
  const held = new HeldBytes({ maxBytes: settings.limits.heldBytes, readTime: () => core.clock.readTime() })
  const callers = new CallerGateway({
    ...core,
    ...routing,
    meter: control.meter,
    rateLimiter: new RateLimiter(),
    maxBodyBytes: settings.limits.bodyBytes,
    held,
    lifetimeSeconds: settings.directory.lifetimeSeconds,
    leastInstances: settings.directory.leastInstances,
    onFinished: (finished) => core.metrics.countRequest(finished),
  })
  const explainLocally = (partner: string, caller: string, target: ExplainTarget): Explanation =>
    explainRequest({ ...core, ...routing }, partner, caller, target)
  core.network.handleCalls(EXPLAIN, (_, body) => explainLocally(body.partner, body.caller, body.target))
  const routed = createRoutedRequests(core, routing, held)
  const admin = new AdminGateway({
    ...core,
    operators: settings.operators,
    writer: createWriter(core),
    maxBodyBytes: settings.limits.bodyBytes,
    held,
    collectTimeline: (filter) => collectTimeline({ ...core, peers: listPeers(core) }, filter),
    collectStatus: () => control.collectStatus(),
    explain: (partner, caller, target) => explainOnServingInstance(core, callers, explainLocally, { partner, caller, target }),
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

/** Calls an instance that serves the service, since only those have the servers' state. */
async function explainOnServingInstance (
  core: Core,
  callers: CallerGateway,
  explainLocally: (partner: string, caller: string, target: ExplainTarget) => Explanation,
  request: { partner: string, caller: string, target: ExplainTarget },
): Promise<Explanation> {
  const { partner, caller, target } = request
  const localExplanation = explainLocally(partner, caller, target)
  const subset = callers.listServingInstances(partner, localExplanation.service)
  const servingInstance = subset[0]
  if (!servingInstance || subset.some((member) => member.instance === core.settings.instance)) return localExplanation
  const answer = await core.network.call(servingInstance.instance, EXPLAIN, request, EXPLAIN_TIMEOUT_MS)
  if (answer.isOk()) return answer.value
  throw new PulleystackError('INSTANCE_UNREACHABLE', `Instance ${servingInstance.instance}, which serves this service, did not respond`, { cause: answer.error })
}
