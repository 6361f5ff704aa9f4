import { Kinds } from '@pulleystack/config.objects'
import { ClaimClient } from '@pulleystack/routing.claims'
import { ServiceRetryBudgets, EligibleRunners, GenerationDispatcher, SlotAllocator, ServiceDispatcher, type Slot } from '@pulleystack/routing.dispatch'
import { CostPicker } from '@pulleystack/routing.picker'
import { WorkQueue } from '@pulleystack/routing.queue'
import { RunnerTable } from '@pulleystack/routing.runners'
import type { Core } from './startInstance.js'

const DEFAULT_PARTNER_WEIGHT = 0.5

/** Components that select a backend server for a request and dispatch it. */
export interface Routing {
  table: RunnerTable
  eligible: EligibleRunners
  queue: WorkQueue<Slot>
  slots: SlotAllocator
  generations: GenerationDispatcher
  services: ServiceDispatcher
  claims: ClaimClient
}

export function createRouting (core: Core): Routing {
  const { settings, deps } = core
  const table = new RunnerTable()
  const eligible = new EligibleRunners({ ...core, table })
  const getWeight = (partner: string): number => core.index.findObject(Kinds.QUOTA, partner, 'pool')?.spec.guaranteedShare ?? DEFAULT_PARTNER_WEIGHT
  const queue = new WorkQueue<Slot>({ clock: core.clock, maxPerPartner: settings.limits.queued, getWeight })
  const slots = new SlotAllocator({ ...core, eligible, queue, picker: new CostPicker(core.random) })
  const dispatcherOptions = { ...core, slots, budgets: new ServiceRetryBudgets() }
  table.changes.subscribe(() => queue.serveWaiting())
  const claims = new ClaimClient({
    ...core,
    store: deps.store,
    shards: settings.claims.shards,
    retentionMs: settings.claims.keepSeconds * 1000,
    writesPerSecond: settings.claims.writesPerSecond,
    createOperationId: core.createId,
  })
  core.view.memberChanges.subscribe(() => claims.unloadUnowned())
  return {
    table,
    eligible,
    queue,
    slots,
    claims,
    generations: new GenerationDispatcher({ ...dispatcherOptions, engines: deps.engines }),
    services: new ServiceDispatcher({ ...dispatcherOptions, services: deps.services }),
  }
}
