import { BASE_VERSION, buildAdapterItem, buildModelItem, Kinds, type ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'

/** An item to load, with its size in bytes and its name in the weight store. */
export interface WantedItem {
  item: string
  bytes: number
  weights: string
}

/** The active version of a model with its adapters, as configured. */
export interface WantedGroup {
  model: ConfigObject<'Model'>
  base: WantedItem
  adapters: WantedItem[]
  bytes: number
}

/** Lists all groups that should be resident according to the configuration, by item. */
export function listWantedGroups (index: ConfigIndex): Map<string, WantedGroup> {
  const adaptersByModel = groupAdapters(index)
  const activeVersions = new Map(index.listObjects(Kinds.MODEL_VERSION).filter((it) => it.spec.active).map((it) => [`${it.partner}/${it.spec.model}`, it]))
  const groups = new Map<string, WantedGroup>()
  for (const model of index.listObjects(Kinds.MODEL)) {
    const name = `${model.partner}/${model.name}`
    const base = buildBaseItem(model, activeVersions.get(name))
    const adapters = adaptersByModel.get(name) ?? []
    groups.set(base.item, { model, base, adapters, bytes: adapters.reduce((sum, adapter) => sum + adapter.bytes, base.bytes) })
  }
  return groups
}

function buildBaseItem (model: ConfigObject<'Model'>, version: ConfigObject<'ModelVersion'> | undefined): WantedItem {
  const item = buildModelItem(model.partner, model.name, version?.name ?? BASE_VERSION)
  return { item, bytes: (version?.spec.bytes ?? model.spec.bytes) + model.spec.kvFloorBytes, weights: version?.spec.weights ?? model.spec.weights }
}

function groupAdapters (index: ConfigIndex): Map<string, WantedItem[]> {
  const groups = new Map<string, WantedItem[]>()
  for (const adapter of index.listObjects(Kinds.ADAPTER)) {
    const name = `${adapter.partner}/${adapter.spec.model}`
    const items = groups.get(name) ?? []
    groups.set(name, items)
    items.push({ item: buildAdapterItem(adapter.partner, adapter.name), bytes: adapter.spec.bytes, weights: adapter.spec.weights })
  }
  return groups
}
