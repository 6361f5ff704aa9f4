import { Kinds, type ConfigObject } from '@pulleystack/config.objects'
import { PulleystackError } from '@pulleystack/core.errors'
import { err, ok, type Result } from 'neverthrow'
import type { AdmissionView } from './admitObject.js'

/** Rejects a model larger than any accelerator, minimum copies beyond the partner's share, and quotas that exceed the pool. */
export function checkCapacity (object: ConfigObject, view: AdmissionView): Result<ConfigObject, PulleystackError> {
  if (object.kind === Kinds.QUOTA) return checkQuota(object as ConfigObject<'Quota'>, view)
  if (object.kind !== Kinds.MODEL && object.kind !== Kinds.ADAPTER && object.kind !== Kinds.MODEL_VERSION) return ok(object)
  const sizes = view.readCapacity().acceleratorBytes
  if (sizes.length === 0) return ok(object)
  return checkAcceleratorSize(object, sizes, view).andThen(() => checkPartnerShare(object, sizes, view))
}

function checkAcceleratorSize (object: ConfigObject, sizes: number[], view: AdmissionView): Result<ConfigObject, PulleystackError> {
  const largest = Math.max(...sizes)
  const needed = measureBytes(object, view)
  if (needed <= largest) return ok(object)
  return err(new PulleystackError('CAPACITY_EXCEEDED', `${object.kind} ${object.name} needs ${needed} bytes with its KV floor; the largest accelerator has ${largest}`, {
    field: 'spec.bytes',
  }))
}

function checkPartnerShare (object: ConfigObject, sizes: number[], view: AdmissionView): Result<ConfigObject, PulleystackError> {
  const poolBytes = sizes.reduce((sum, size) => sum + size, 0)
  const share = computeGuaranteedShare(object.partner, view)
  const allowed = Math.floor(poolBytes * share)
  const others = listSizedObjects(object.partner, view).filter((it) => it.kind !== object.kind || it.name !== object.name)
  const needed = [...others, object].reduce((sum, it) => sum + measureMinimumBytes(it, view), 0)
  if (needed <= allowed) return ok(object)
  return err(new PulleystackError('CAPACITY_EXCEEDED', `Partner "${object.partner}" would need ${needed} bytes for minimum copies; its share is ${allowed}`, {
    field: object.kind === Kinds.MODEL ? 'spec.minCopies' : 'spec.bytes',
    hint: 'Lower minCopies, delete unused objects, or ask the administrators of the pool for a larger quota.',
  }))
}

function checkQuota (quota: ConfigObject<'Quota'>, view: AdmissionView): Result<ConfigObject, PulleystackError> {
  const others = view.listObjects(Kinds.QUOTA).filter((it) => it.partner !== quota.partner)
  const total = others.reduce((sum, it) => sum + it.spec.guaranteedShare, quota.spec.guaranteedShare)
  if (total <= 1 + 1e-9) return ok(quota)
  return err(new PulleystackError('CAPACITY_EXCEEDED', `The guaranteed shares of all partners would add up to ${total.toFixed(3)}`, { field: 'spec.guaranteedShare' }))
}

// Objects of other partners must not affect this share, so a partner without a quota gets what all quotas leave.
function computeGuaranteedShare (partner: string, view: AdmissionView): number {
  const quotas = view.listObjects(Kinds.QUOTA)
  const own = quotas.find((it) => it.partner === partner)
  if (own) return own.spec.guaranteedShare
  return Math.max(0, 1 - quotas.reduce((sum, it) => sum + it.spec.guaranteedShare, 0))
}

function listSizedObjects (partner: string, view: AdmissionView): ConfigObject[] {
  return [...view.listObjects(Kinds.MODEL, partner), ...view.listObjects(Kinds.ADAPTER, partner)]
}

function measureBytes (object: ConfigObject, view: AdmissionView): number {
  if (object.kind === Kinds.MODEL) {
    const spec = (object as ConfigObject<'Model'>).spec
    return spec.bytes + spec.kvFloorBytes
  }
  const spec = (object as ConfigObject<'Adapter'>).spec
  const base = view.findObject(Kinds.MODEL, object.partner, spec.model)
  const baseBytes = object.kind === Kinds.ADAPTER ? base?.spec.bytes ?? 0 : 0
  return spec.bytes + baseBytes + (base?.spec.kvFloorBytes ?? 0)
}

function measureMinimumBytes (object: ConfigObject, view: AdmissionView): number {
  if (object.kind === Kinds.MODEL) return measureBytes(object, view) * ((object as ConfigObject<'Model'>).spec.minCopies ?? 1)
  if (object.kind === Kinds.ADAPTER) return (object as ConfigObject<'Adapter'>).spec.bytes
  return 0
}
