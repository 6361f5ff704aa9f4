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

type Standing = Pick<StoredObject, 'version'> & { object: ConfigObject | undefined }

const MAX_TRIES = 4

/** Writes accepted changes to the object API by conditional updates. */
export class ConfigWriter {
  constructor (private readonly opts: ConfigWriterOptions) {}

  /**
   * Merges what is asked for into what stands and writes it. Fields that somebody else set are kept. When somebody
   * changes the same fields between our reading and writing, the request fails and shows what they changed.
   */
  async apply (wanted: ConfigObject, operator: Operator, opts: { dryRun: boolean, expectedVersion?: number }): Promise<ApplyResult> {
    const key = buildObjectKey(wanted.kind, wanted.partner, wanted.name)
    let first: Standing | undefined
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const standing = await this.read(key)
      first ??= standing
      checkExpected(key, standing, opts.expectedVersion)
      const next = buildNext(wanted, standing.object)
      checkOverlap(key, first, standing, wanted)
      await this.admit(next, operator)
      const differences = listDifferences(strip(standing.object), strip(next))
      if (differences.length === 0) return { key, action: 'unchanged', version: standing.version, differences }
      const action = standing.object ? 'changed' as const : 'created' as const
      if (opts.dryRun) return { key, action, version: standing.version, differences }
      const version = await this.write(key, next, standing.version)
      if (version !== undefined) return { key, action, version, differences }
    }
    throw new PulleystackError('VERSION_CONFLICT', `${key} is being changed by others all the time`, { retryAfterSeconds: 1 })
  }

  /** Sets and removes labels (null removes), leaving all else as it stands. */
  async label (target: Target, labels: Record<string, string | null>, operator: Operator): Promise<ApplyResult> {
    const key = buildObjectKey(target.kind, target.partner, target.name)
    for (let tries = 0; tries < MAX_TRIES; tries++) {
      const standing = await this.read(key)
      if (!standing.object) throw createUnknown(key)
      const merged = Object.entries({ ...standing.object.labels, ...labels }).filter((it): it is [string, string] => it[1] !== null)
      const next = { ...standing.object, labels: Object.fromEntries(merged) }
      await this.admit(next, operator)
      const differences = listDifferences(strip(standing.object), strip(next))
      if (differences.length === 0) return { key, action: 'unchanged', version: standing.version, differences }
      const version = await this.write(key, next, standing.version)
      if (version !== undefined) return { key, action: 'changed', version, differences }
    }
    throw new PulleystackError('VERSION_CONFLICT', `${key} is being changed by others all the time`, { retryAfterSeconds: 1 })
  }

  async remove (target: Target, operator: Operator, expectedVersion: number | undefined): Promise<ApplyResult> {
    const key = buildObjectKey(target.kind, target.partner, target.name)
    const allowed = admitDeletion(target, operator, this.opts.view)
    if (allowed.isErr()) throw allowed.error
    const standing = await this.read(key)
    if (!standing.object) throw createUnknown(key)
    checkExpected(key, standing, expectedVersion)
    const deleted = await this.opts.store.deleteObject(key, standing.version)
    if (deleted.isErr()) throw await this.explainFailedDeletion(key, standing.version, deleted.error)
    this.opts.replica.applyEntry({ key, version: deleted.value, value: undefined })
    this.opts.ring.record(EventKinds.CONFIG_APPLIED, { object: key, partner: target.partner, version: deleted.value, note: 'deleted' })
    return { key, action: 'deleted', version: deleted.value, differences: [] }
  }

  private async read (key: string): Promise<Standing> {
    const read = await this.opts.store.readObject(key)
    if (read.isErr()) throw read.error
    return { version: read.value?.version ?? 0, object: read.value?.value as ConfigObject | undefined }
  }

  private async admit (object: ConfigObject, operator: Operator): Promise<void> {
    const admitted = admitObject(object, operator, this.opts.view)
    if (admitted.isOk()) return
    // What is missing here may have been accepted elsewhere a moment ago.
    if (admitted.error.code === 'REFERENCE_MISSING' && await this.refresh()) {
      const again = admitObject(object, operator, this.opts.view)
      if (again.isOk()) return
    }
    const key = buildObjectKey(object.kind, object.partner, object.name)
    this.opts.ring.record(EventKinds.CONFIG_REFUSED, { object: key, partner: operator.partner, note: admitted.error.message })
    throw admitted.error
  }

  private async refresh (): Promise<boolean> {
    const listing = await this.opts.store.listObjects('config/')
    if (listing.isErr()) return false
    this.opts.replica.applyListing(listing.value)
    return true
  }

  /** Undefined when somebody else was faster. A lost answer is settled by reading back. */
  private async write (key: string, next: ConfigObject, expectedVersion: number): Promise<number | undefined> {
    const operation = this.opts.createId()
    const value: ConfigObject = { ...next, operation, generation: (next.generation ?? 0) + 1 }
    const written = await this.opts.store.writeObject(key, value, expectedVersion)
    if (written.isOk()) return this.accept(key, written.value, value)
    if (written.error.code === 'STORE_CONFLICT') return undefined
    if (written.error.code !== 'STORE_OUTCOME_UNKNOWN') throw written.error
    const standing = await this.read(key).catch(() => undefined)
    if (standing?.object?.operation === operation) return this.accept(key, standing.version, value)
    throw written.error
  }

  private accept (key: string, version: number, value: ConfigObject): number {
    this.opts.replica.applyEntry({ key, version, value })
    this.opts.ring.record(EventKinds.CONFIG_APPLIED, { object: key, partner: value.partner, version })
    return version
  }

  private async explainFailedDeletion (key: string, version: number, error: PulleystackError): Promise<PulleystackError> {
    if (error.code !== 'STORE_CONFLICT') return error
    const standing = await this.read(key)
    return new PulleystackError('VERSION_CONFLICT', `${key} was changed meanwhile, from version ${version} to ${standing.version}`, { hint: 'Look at it again before you delete it.' })
  }
}

function buildNext (wanted: ConfigObject, standing: ConfigObject | undefined): ConfigObject {
  const applied = { labels: wanted.labels ?? {}, spec: wanted.spec }
  const merged = mergeThreeWay(standing?.lastApplied, applied, { labels: standing?.labels ?? {}, spec: standing?.spec }) as Pick<ConfigObject, 'labels' | 'spec'>
  const { kind, partner, name } = wanted
  return { kind, partner, name, ...merged, generation: standing?.generation, lastApplied: applied }
}

/** Fields that people see; `lastApplied` counts only together with one of them. */
function strip (object: ConfigObject | undefined): unknown {
  return object && { labels: object.labels ?? {}, spec: object.spec }
}

function checkExpected (key: string, standing: Standing, expected: number | undefined): void {
  if (expected === undefined || expected === standing.version) return
  throw new PulleystackError('VERSION_CONFLICT', `${key} has version ${standing.version}, not ${expected}`, { hint: 'Read it again and repeat the change.' })
}

/** Fails when the fields that somebody changed since our first reading are among those asked for. */
function checkOverlap (key: string, first: Standing, standing: Standing, wanted: ConfigObject): void {
  if (first.version === standing.version) return
  const theirs = listDifferences(strip(first.object), strip(standing.object))
  const ours = new Set(listDifferences(strip(first.object), strip(wanted)).map((it) => it.field))
  const overlap = theirs.filter((it) => ours.has(it.field))
  if (overlap.length === 0) return
  throw new PulleystackError('VERSION_CONFLICT', `Somebody changed the same fields of ${key} at the same moment`, {
    details: overlap,
    field: overlap[0]?.field,
    hint: 'Look at their change, then apply again if yours should stand.',
  })
}

function createUnknown (key: string): PulleystackError {
  return new PulleystackError('OBJECT_UNKNOWN', `${key} does not exist`)
}
