import { Kinds } from '@pulleystack/config.objects'
import { ClaimClient } from '@pulleystack/routing.claims'
import { Budgets, EligibleRunners, GenerationDispatcher, Places, ServiceDispatcher, type Place } from '@pulleystack/routing.dispatch'
import { CostPicker } from '@pulleystack/routing.picker'
import { WorkQueue } from '@pulleystack/routing.queue'
import { RunnerTable } from '@pulleystack/routing.runners'
import type { Core } from './startInstance.js'

const DEFAULT_PARTNER_WEIGHT = 0.5

/** Components that select a backend server for a request and dispatch it. */
export interface Routing {
  table: RunnerTable
  eligible: EligibleRunners
  queue: WorkQueue<Place>
  places: Places
  generations: GenerationDispatcher
  services: ServiceDispatcher
  claims: ClaimClient
}

export function createRouting (core: Core): Routing {
  const { settings, deps } = core
  const table = new RunnerTable()
  const eligible = new EligibleRunners({ ...core, table })
  const getWeight = (partner: string): number => core.index.findObject(Kinds.QUOTA, partner, 'pool')?.spec.guaranteedShare ?? DEFAULT_PARTNER_WEIGHT
  const queue = new WorkQueue<Place>({ clock: core.clock, maxPerPartner: settings.limits.queued, getWeight })
  const places = new Places({ ...core, eligible, queue, picker: new CostPicker(core.random) })
  const dispatcherOptions = { ...core, places, budgets: new Budgets() }
  table.changes.subscribe(() => queue.pump())
  const claims = new ClaimClient({
    ...core,
    store: deps.store,
    shards: settings.claims.shards,
    keepMs: settings.claims.keepSeconds * 1000,
    writesPerSecond: settings.claims.writesPerSecond,
    createOperation: core.createId,
  })
  core.view.memberChanges.subscribe(() => claims.review())
  return {
    table,
    eligible,
    queue,
    places,
    claims,
    generations: new GenerationDispatcher({ ...dispatcherOptions, engines: deps.engines }),
    services: new ServiceDispatcher({ ...dispatcherOptions, services: deps.services }),
  }
}
