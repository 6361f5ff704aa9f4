import { buildAdapterItem, buildModelItem, Kinds, type ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'
import { matchLabels } from '@pulleystack/config.selectors'
import { PulleystackError } from '@pulleystack/core.errors'
import { BASE_VERSION } from '@pulleystack/config.objects'

/** The service, model and placement items that a model name resolves to. */
export interface ModelTarget {
  service: ConfigObject<'Service'>
  model: ConfigObject<'Model'>
  /** Items that may answer, in order of preference: the active version, then other versions that may still be loaded. */
  items: string[]
  adapter?: string
}

/** Finds a service of the caller's partner. Throws SERVICE_UNKNOWN whether it doesn't exist or the caller isn't allowed to use it. */
export function findAllowedService (index: ConfigIndex, caller: ConfigObject<'Caller'>, name: string): ConfigObject<'Service'> {
  const service = index.findObject(Kinds.SERVICE, caller.partner, name)
  if (service && matchLabels(service.spec.callers, caller.labels ?? {})) return service
  throw new PulleystackError('SERVICE_UNKNOWN', `Service "${name}" does not exist or is not available to this caller`, { field: 'service' })
}

/** Resolves `model`, `model@version` or the name of an adapter. Throws MODEL_UNKNOWN if the caller has no access to such a model. */
export function resolveModel (index: ConfigIndex, caller: ConfigObject<'Caller'>, name: string): ModelTarget {
  const target = findTarget(index, caller.partner, name)
  const service = target && index.findObject(Kinds.SERVICE, caller.partner, target.model.spec.service)
  if (target && service && matchLabels(service.spec.callers, caller.labels ?? {})) return { ...target, service }
  throw new PulleystackError('MODEL_UNKNOWN', `Model or adapter "${name}" does not exist or is not available to this caller`, {
    field: 'model',
    hint: 'GET /v1/models lists the models available to this caller.',
  })
}

/** Lists the names of the models and adapters that a caller may use. */
export function listAllowedModels (index: ConfigIndex, caller: ConfigObject<'Caller'>): string[] {
  const models = index.listObjects(Kinds.MODEL, caller.partner).filter((model) => {
    const service = index.findObject(Kinds.SERVICE, caller.partner, model.spec.service)
    return service !== undefined && matchLabels(service.spec.callers, caller.labels ?? {})
  })
  const allowed = new Set(models.map((model) => model.name))
  const adapters = index.listObjects(Kinds.ADAPTER, caller.partner).filter((adapter) => allowed.has(adapter.spec.model))
  return [...allowed, ...adapters.map((adapter) => adapter.name)].sort()
}

function findTarget (index: ConfigIndex, partner: string, name: string): Omit<ModelTarget, 'service'> | undefined {
  const [base, version] = name.split('@') as [string, string | undefined]
  const model = index.findObject(Kinds.MODEL, partner, base)
  if (model) return { model, items: listItems(index, model, version) }
  const adapter = index.findObject(Kinds.ADAPTER, partner, name)
  const adapted = adapter && index.findObject(Kinds.MODEL, partner, adapter.spec.model)
  if (!adapter || !adapted) return undefined
  return { model: adapted, items: listItems(index, adapted, undefined), adapter: buildAdapterItem(partner, adapter.name) }
}

function listItems (index: ConfigIndex, model: ConfigObject<'Model'>, version: string | undefined): string[] {
  if (version !== undefined) return [buildModelItem(model.partner, model.name, version)]
  const active = index.findActiveVersion(model.partner, model.name)?.name ?? BASE_VERSION
  const others = index.listObjects(Kinds.MODEL_VERSION, model.partner).filter((it) => it.spec.model === model.name).map((it) => it.name)
  // Other versions keep serving while the active one is being loaded.
  const names = new Set([active, ...others, BASE_VERSION])
  return [...names].map((it) => buildModelItem(model.partner, model.name, it))
}
