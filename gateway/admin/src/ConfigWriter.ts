import { admitDeletion, admitObject, type AdmissionView, type Operator } from '@pulleystack/config.admission'
import { listDifferences, mergeThreeWay, type Difference } from '@pulleystack/config.merge'
import { buildObjectKey, type ConfigObject, type Kind } from '@pulleystack/config.objects'
import type { ConfigReplica } from '@pulleystack/config.replica'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'

export interface ConfigWriterOptions {
  store: ObjectStore
  replica: ConfigReplica
  view: AdmissionView
  ring: EventRing
  createId: () => string
}

export interface ApplyResult {
  key: string
  action: 'created' | 'changed' | 'unchanged' | 'deleted'
  version: number
  differences: Difference[]
}

interface Target {
  kind: Kind
  partner: string
  name: string
}

type CurrentObject = Pick<StoredObject, 'version'> & { object: ConfigObject | undefined }

const MAX_WRITE_ATTEMPTS = 4

/** Writes admitted configuration changes to the object API with conditional writes. */
export class ConfigWriter {
  constructor (private readonly opts: ConfigWriterOptions) {}

  /**
   * Merges the desired object into the current one and writes the result. Fields set by other writers are kept. Throws
   * VERSION_CONFLICT with the differences if another writer changes the same fields between the read and the write.
   */
  async apply (desired: ConfigObject, operator: Operator, opts: { dryRun: boolean, expectedVersion?: number }): Promise<ApplyResult> {
    const key = buildObjectKey(desired.kind, desired.partner, desired.name)
    let initial: CurrentObject | undefined
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const current = await this.read(key)
      initial ??= current
      checkExpectedVersion(key, current, opts.expectedVersion)
      const next = buildNext(desired, current.object)
      checkConcurrentChanges(key, initial, current, desired)
      await this.admit(next, operator)
      const differences = listDifferences(pickUserFields(current.object), pickUserFields(next))
      if (differences.length === 0) return { key, action: 'unchanged', version: current.version, differences }
      const action = current.object ? 'changed' as const : 'created' as const
      if (opts.dryRun) return { key, action, version: current.version, differences }
      const version = await this.write(key, next, current.version)
      if (version !== undefined) return { key, action, version, differences }
    }
    throw new PulleystackError('VERSION_CONFLICT', `${key} was changed by other writers at every attempt`, { retryAfterSeconds: 1 })
  }

  /** Sets labels, or removes those that are null. */
  async label (target: Target, labels: Record<string, string | null>, operator: Operator): Promise<ApplyResult> {
    const key = buildObjectKey(target.kind, target.partner, target.name)
    for (let attempt = 0; attempt < MAX_WRITE_ATTEMPTS; attempt++) {
      const current = await this.read(key)
      if (!current.object) throw createUnknownObjectError(key)
      const merged = Object.entries({ ...current.object.labels, ...labels }).filter((it): it is [string, string] => it[1] !== null)
      const next = { ...current.object, labels: Object.fromEntries(merged) }
      await this.admit(next, operator)
      const differences = listDifferences(pickUserFields(current.object), pickUserFields(next))
      if (differences.length === 0) return { key, action: 'unchanged', version: current.version, differences }
      const version = await this.write(key, next, current.version)
      if (version !== undefined) return { key, action: 'changed', version, differences }
    }
    throw new PulleystackError('VERSION_CONFLICT', `${key} was changed by other writers at every attempt`, { retryAfterSeconds: 1 })
  }

  async remove (target: Target, operator: Operator, expectedVersion: number | undefined): Promise<ApplyResult> {
    const key = buildObjectKey(target.kind, target.partner, target.name)
    const admission = admitDeletion(target, operator, this.opts.view)
    if (admission.isErr()) throw admission.error
    const current = await this.read(key)
    if (!current.object) throw createUnknownObjectError(key)
    checkExpectedVersion(key, current, expectedVersion)
    const deleted = await this.opts.store.deleteObject(key, current.version)
    if (deleted.isErr()) throw await this.explainFailedDeletion(key, current.version, deleted.error)
    this.opts.replica.applyEntry({ key, version: deleted.value, value: undefined })
    this.opts.ring.record(EventKinds.CONFIG_APPLIED, { object: key, partner: target.partner, version: deleted.value, note: 'deleted' })
    return { key, action: 'deleted', version: deleted.value, differences: [] }
  }

  private async read (key: string): Promise<CurrentObject> {
    const read = await this.opts.store.readObject(key)
    if (read.isErr()) throw read.error
    return { version: read.value?.version ?? 0, object: read.value?.value as ConfigObject | undefined }
  }

  private async admit (object: ConfigObject, operator: Operator): Promise<void> {
    const admission = admitObject(object, operator, this.opts.view)
    if (admission.isOk()) return
    // The replica may lag behind: another instance may have just accepted the missing object.
    if (admission.error.code === 'REFERENCE_MISSING' && await this.refresh()) {
      const retried = admitObject(object, operator, this.opts.view)
      if (retried.isOk()) return
    }
    const key = buildObjectKey(object.kind, object.partner, object.name)
    this.opts.ring.record(EventKinds.CONFIG_REFUSED, { object: key, partner: operator.partner, note: admission.error.message })
    throw admission.error
  }

  private async refresh (): Promise<boolean> {
    const listing = await this.opts.store.listObjects('config/')
    if (listing.isErr()) return false
    this.opts.replica.applyListing(listing.value)
    return true
  }

  /** Returns the new version, or undefined after a conflict. If the outcome of the write is unknown, reads the object back. */
  private async write (key: string, next: ConfigObject, expectedVersion: number): Promise<number | undefined> {
    const operation = this.opts.createId()
    const value: ConfigObject = { ...next, operation, generation: (next.generation ?? 0) + 1 }
    const written = await this.opts.store.writeObject(key, value, expectedVersion)
    if (written.isOk()) return this.accept(key, written.value, value)
    if (written.error.code === 'STORE_CONFLICT') return undefined
    if (written.error.code !== 'STORE_OUTCOME_UNKNOWN') throw written.error
    const current = await this.read(key).catch(() => undefined)
    if (current?.object?.operation === operation) return this.accept(key, current.version, value)
    throw written.error
  }

  private accept (key: string, version: number, value: ConfigObject): number {
    this.opts.replica.applyEntry({ key, version, value })
    this.opts.ring.record(EventKinds.CONFIG_APPLIED, { object: key, partner: value.partner, version })
    return version
  }

  private async explainFailedDeletion (key: string, version: number, error: PulleystackError): Promise<PulleystackError> {
    if (error.code !== 'STORE_CONFLICT') return error
    const current = await this.read(key)
    return new PulleystackError('VERSION_CONFLICT', `${key} was changed from version ${version} to ${current.version}`, { hint: 'Check the new version before you delete it.' })
  }
}

function buildNext (desired: ConfigObject, current: ConfigObject | undefined): ConfigObject {
  const applied = { labels: desired.labels ?? {}, spec: desired.spec }
  const merged = mergeThreeWay(current?.lastApplied, applied, { labels: current?.labels ?? {}, spec: current?.spec }) as Pick<ConfigObject, 'labels' | 'spec'>
  const { kind, partner, name } = desired
  return { kind, partner, name, ...merged, generation: current?.generation, lastApplied: applied }
}

/** Picks the fields that users edit. A difference in `lastApplied` alone is not a change. */
function pickUserFields (object: ConfigObject | undefined): unknown {
  return object && { labels: object.labels ?? {}, spec: object.spec }
}

function checkExpectedVersion (key: string, current: CurrentObject, expected: number | undefined): void {
  if (expected === undefined || expected === current.version) return
  throw new PulleystackError('VERSION_CONFLICT', `${key} has version ${current.version}, not ${expected}`, { hint: 'Read it again and repeat the change.' })
}

/** Throws VERSION_CONFLICT if another writer has changed any of the requested fields since the first read. */
function checkConcurrentChanges (key: string, initial: CurrentObject, current: CurrentObject, desired: ConfigObject): void {
  if (initial.version === current.version) return
  const concurrentChanges = listDifferences(pickUserFields(initial.object), pickUserFields(current.object))
  const requestedFields = new Set(listDifferences(pickUserFields(initial.object), pickUserFields(desired)).map((it) => it.field))
  const conflicts = concurrentChanges.filter((it) => requestedFields.has(it.field))
  if (conflicts.length === 0) return
  throw new PulleystackError('VERSION_CONFLICT', `Another writer changed the same fields of ${key} at the same time`, {
    details: conflicts,
    field: conflicts[0]?.field,
    hint: 'Review the other change, then apply again to override it.',
  })
}

function createUnknownObjectError (key: string): PulleystackError {
  return new PulleystackError('OBJECT_UNKNOWN', `${key} does not exist`)
}
