import { Kinds, parseConfigObject, PLATFORM_PARTNER, type ConfigObject, type Kind } from '@pulleystack/config.objects'
import { PulleystackError } from '@pulleystack/core.errors'
import { err, ok, type Result } from 'neverthrow'
import { checkCapacity } from './checkCapacity.js'

/** The author of a change. */
export interface Operator {
  name: string
  /** Partner whose objects the operator may read and write; `platform` for administrators of the pool. */
  partner: string
}

export interface PoolCapacity {
  /** Memory of each accelerator. */
  acceleratorBytes: number[]
}

/** Read access to the current configuration and the pool's capacity. */
export interface AdmissionView {
  findObject<K extends Kind>(kind: K, partner: string, name: string): ConfigObject<K> | undefined
  listObjects<K extends Kind>(kind: K, partner?: string): ConfigObject<K>[]
  readCapacity (): PoolCapacity
}

/** Checks whether an operator may write an object; the error names the field and a hint. */
export function admitObject (value: unknown, operator: Operator, view: AdmissionView): Result<ConfigObject, PulleystackError> {
  return parseConfigObject(value)
    .andThen((object) => checkOwner(object, operator))
    .andThen((object) => checkReferences(object, view))
    .andThen((object) => checkCallerKeys(object, view))
    .andThen((object) => checkRouteHost(object, view))
    .andThen((object) => checkCapacity(object, view))
}

/** Checks whether an operator may delete an object: it must own the object, and no other object may refer to it. */
export function admitDeletion (target: { kind: Kind, partner: string, name: string }, operator: Operator, view: AdmissionView): Result<void, PulleystackError> {
  const owner = checkOwner(target, operator)
  if (owner.isErr()) return err(owner.error)
  const user = findUser(target, view)
  if (!user) return ok(undefined)
  return err(new PulleystackError('OBJECT_IN_USE', `${target.kind} ${target.name} is still used by ${user}`, { hint: `Change or delete ${user} first.` }))
}

function checkOwner<T extends { kind: Kind, partner: string }> (object: T, operator: Operator): Result<T, PulleystackError> {
  const owner = object.kind === Kinds.QUOTA ? PLATFORM_PARTNER : object.partner
  if (owner === operator.partner) return ok(object)
  return err(new PulleystackError('NOT_OWNER', `${object.kind} of partner "${object.partner}" may only be written by operators of "${owner}"`, {
    field: 'partner',
    hint: `You are an operator of "${operator.partner}".`,
  }))
}

function checkReferences (object: ConfigObject, view: AdmissionView): Result<ConfigObject, PulleystackError> {
  const missing = findMissingReference(object, view)
  if (!missing) return ok(object)
  return err(new PulleystackError('REFERENCE_MISSING', `${missing.kind} "${missing.name}" does not exist for partner "${object.partner}"`, {
    field: missing.field,
    hint: `Apply the ${missing.kind} first, or in the same file before this object.`,
  }))
}

function findMissingReference (object: ConfigObject, view: AdmissionView): { kind: Kind, name: string, field: string } | undefined {
  if (object.kind === Kinds.MODEL) {
    const name = (object as ConfigObject<'Model'>).spec.service
    const service = view.findObject(Kinds.SERVICE, object.partner, name)
    return service?.spec.type === 'model' ? undefined : { kind: Kinds.SERVICE, name, field: 'spec.service' }
  }
  if (object.kind === Kinds.ROUTE) {
    const names = (object as ConfigObject<'Route'>).spec.targets.map((target) => target.service)
    const name = names.find((it) => view.findObject(Kinds.SERVICE, object.partner, it)?.spec.type !== 'plain')
    return name === undefined ? undefined : { kind: Kinds.SERVICE, name, field: 'spec.targets' }
  }
  if (object.kind === Kinds.ADAPTER || object.kind === Kinds.MODEL_VERSION) {
    const name = (object as ConfigObject<'Adapter'>).spec.model
    return view.findObject(Kinds.MODEL, object.partner, name) ? undefined : { kind: Kinds.MODEL, name, field: 'spec.model' }
  }
  return undefined
}

function checkCallerKeys (object: ConfigObject, view: AdmissionView): Result<ConfigObject, PulleystackError> {
  if (object.kind !== Kinds.CALLER) return ok(object)
  const hashes = new Set((object as ConfigObject<'Caller'>).spec.keyHashes)
  const other = view.listObjects(Kinds.CALLER).find((it) => !isSameObject(it, object) && it.spec.keyHashes.some((hash) => hashes.has(hash)))
  if (!other) return ok(object)
  // The error doesn't name the other caller because it may belong to another partner.
  return err(new PulleystackError('OBJECT_INVALID', 'An access key of this caller is already in use', { field: 'spec.keyHashes', hint: 'Create a new key.' }))
}

/** A host belongs to one partner and each of its prefixes to one route, so that no partner can capture another's requests. */
function checkRouteHost (object: ConfigObject, view: AdmissionView): Result<ConfigObject, PulleystackError> {
  if (object.kind !== Kinds.ROUTE) return ok(object)
  const { host, pathPrefix } = (object as ConfigObject<'Route'>).spec
  const sameHost = view.listObjects(Kinds.ROUTE).filter((it) => !isSameObject(it, object) && it.spec.host === host)
  const other = sameHost.find((it) => it.partner !== object.partner || it.spec.pathPrefix === pathPrefix)
  if (!other) return ok(object)
  const isForeign = other.partner !== object.partner
  return err(new PulleystackError('OBJECT_INVALID', isForeign ? `Host "${host}" is not this partner's` : `Route "${other.name}" has the same host and prefix`, {
    field: isForeign ? 'spec.host' : 'spec.pathPrefix',
    hint: isForeign ? 'Use a host of your own.' : 'Change that route, or use another prefix.',
  }))
}

function isSameObject (a: ConfigObject, b: ConfigObject): boolean {
  return a.partner === b.partner && a.name === b.name
}

function findUser (target: { kind: Kind, partner: string, name: string }, view: AdmissionView): string | undefined {
  if (target.kind === Kinds.SERVICE) {
    const model = view.listObjects(Kinds.MODEL, target.partner).find((it) => it.spec.service === target.name)
    const route = view.listObjects(Kinds.ROUTE, target.partner).find((it) => it.spec.targets.some((used) => used.service === target.name))
    return model ? `Model ${model.name}` : route && `Route ${route.name}`
  }
  if (target.kind !== Kinds.MODEL) return undefined
  const users = [...view.listObjects(Kinds.ADAPTER, target.partner), ...view.listObjects(Kinds.MODEL_VERSION, target.partner)]
  const user = users.find((it) => it.spec.model === target.name)
  return user && `${user.kind} ${user.name}`
}
