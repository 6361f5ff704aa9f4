import { BASE_VERSION, buildAdapterItem, buildModelItem, Kinds, type ConfigObject } from '@pulleystack/config.objects'
import type { ConfigIndex } from '@pulleystack/config.replica'

/** Something to load: an item with its bytes and its name in the weight store. */
export interface WantedItem {
  item: string
  bytes: number
  weights: string
}

/** A model's active version with its adapters, as the configuration wants it. */
export interface WantedGroup {
  model: ConfigObject<'Model'>
  base: WantedItem
  adapters: WantedItem[]
  bytes: number
}

/** Everything that the configuration wants resident, by item. */
export function listWantedGroups (index: ConfigIndex): Map<string, WantedGroup> {
  const adaptersByModel = groupAdapters(index)
  const versions = new Map(index.listObjects(Kinds.MODEL_VERSION).filter((it) => it.spec.active).map((it) => [`${it.partner}/${it.spec.model}`, it]))
  const groups = new Map<string, WantedGroup>()
  for (const model of index.listObjects(Kinds.MODEL)) {
    const name = `${model.partner}/${model.name}`
    const base = buildBase(model, versions.get(name))
    const adapters = adaptersByModel.get(name) ?? []
    groups.set(base.item, { model, base, adapters, bytes: adapters.reduce((sum, adapter) => sum + adapter.bytes, base.bytes) })
  }
  return groups
}

function buildBase (model: ConfigObject<'Model'>, version: ConfigObject<'ModelVersion'> | undefined): WantedItem {
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
