import { buildObjectKey, Kinds, type AdapterSpec, type ConfigObject, type ModelSpec, type QuotaSpec, type ServiceSpec } from '@pulleystack/config.objects'
import { ConfigReplica } from '@pulleystack/config.replica'
import { hashAccessKey } from '@pulleystack/core.hashing'

const MIB = 1024 ** 2

export function buildService (partner: string, name: string, spec: Partial<ServiceSpec> = {}): ConfigObject<'Service'> {
  return { kind: Kinds.SERVICE, partner, name, spec: { type: 'model', class: 'work', ...spec } }
}

export function buildModel (partner: string, name: string, spec: Partial<ModelSpec> = {}): ConfigObject<'Model'> {
  return { kind: Kinds.MODEL, partner, name, spec: { service: 'drafts', bytes: 10 * MIB, kvFloorBytes: 0, weights: `${partner}/${name}`, ...spec } }
}

export function buildAdapter (partner: string, name: string, spec: Partial<AdapterSpec> & { model: string }): ConfigObject<'Adapter'> {
  return { kind: Kinds.ADAPTER, partner, name, spec: { bytes: MIB, weights: `${partner}/+${name}`, ...spec } }
}

export function buildCaller (partner: string, name: string, key: string, labels: Record<string, string> = {}): ConfigObject<'Caller'> {
  return { kind: Kinds.CALLER, partner, name, labels, spec: { keyHashes: [hashAccessKey(key)] } }
}

export function buildQuota (partner: string, spec: QuotaSpec): ConfigObject<'Quota'> {
  return { kind: Kinds.QUOTA, partner, name: 'pool', spec }
}

/** Creates a replica of the objects, with versions in their order. */
export function createReplica (objects: readonly ConfigObject[]): ConfigReplica {
  const replica = new ConfigReplica()
  const objectEntries = objects.map((value, i) => ({ key: buildObjectKey(value.kind, value.partner, value.name), version: i + 1, value }))
  replica.applyListing({ objects: objectEntries, version: objectEntries.length })
  return replica
}
