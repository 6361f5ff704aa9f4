import { readEpoch, type ObjectStore, type StoredObject } from '@pulleystack/backend.interfaces'
import { PulleystackError } from '@pulleystack/core.errors'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { err, ok, type Result } from 'neverthrow'
import { filter, type Observable } from 'rxjs'
import { VERSIONS_PREFIX, buildRecordKey, createRecord, extendRecord, isSameRecord, parseVersionRecord, type StoredVersionRecord, type VersionRecord } from './VersionRecord.js'

/** Writes of one change at most; each further one follows a write of another instance. */
const MAX_WRITES = 5

export interface ChangeOptions {
  /** Whether the record has all versions after the change, also if the store was restored from an older snapshot. */
  confirms?: boolean
}

/** Stores the record of each service's software versions. */
export class VersionArchive {
  constructor (private readonly store: ObjectStore, private readonly log: DecisionLog) {}

  /** Emits when the store was restored from an older snapshot, which may lack records. */
  get restores (): Observable<unknown> {
    return this.store.epochs.changes.pipe(filter(({ previous }) => previous !== undefined))
  }

  /** Adds versions to the record of a service. Errors: as `change`. */
  add (service: string, versions: readonly string[], { confirms = false }: ChangeOptions = {}): Promise<Result<StoredVersionRecord, PulleystackError>> {
    return this.change(service, versions, (record) => extendRecord(record, versions), { confirms })
  }

  /** Lists the records of all services. Errors: those of the store. */
  async list (): Promise<Result<StoredVersionRecord[], PulleystackError>> {
    const listing = await this.store.listObjects(VERSIONS_PREFIX)
    return listing.map(({ objects }) => objects.flatMap(({ key, value, version }) => this.parse(key, value, version) ?? []))
  }

  /**
   * Changes the record of a service, or creates it with some versions, also while others write it. Errors: those of the store; STORE_CONFLICT after several
   * writes of others.
   */
  async change (
    service: string,
    versions: readonly string[],
    change: (record: VersionRecord) => VersionRecord,
    { confirms = false }: ChangeOptions = {},
  ): Promise<Result<StoredVersionRecord, PulleystackError>> {
    const key = buildRecordKey(service)
    let failure = new PulleystackError('STORE_CONFLICT', `The versions of service ${JSON.stringify(service)} were not written`)
    for (let count = 0; count < MAX_WRITES; count++) {
      const current = await this.store.readObject(key)
      if (current.isErr()) return err(current.error)
      const stored = current.value && this.parse(key, current.value.value, current.value.version)
      const extended = stored ? change(stored) : createRecord(service, versions, { wasUnreadable: current.value !== undefined })
      const epoch = confirms || extended.epoch === undefined ? this.readEpoch(current.value) : extended.epoch
      const changed = { ...extended, epoch }
      if (stored && isSameRecord(stored, changed)) return ok(stored)
      const replaced = current.value?.version ?? 0
      const written = await this.store.writeObject(key, changed, replaced)
      if (written.isOk()) return ok({ ...changed, objectVersion: written.value, replaced })
      failure = written.error
      if (failure.code === 'STORE_UNAVAILABLE') break
    }
    return err(failure)
  }

  /**
   * Replaces a record in a single write, after which it has all versions; returns the record that others have written meanwhile, if they have. Errors: as
   * `change`; the write may still take effect after them.
   */
  async replace (record: StoredVersionRecord, changed: VersionRecord): Promise<Result<StoredVersionRecord, PulleystackError>> {
    const { service, objectVersion } = record
    const confirmed = { ...changed, epoch: readEpoch(objectVersion) }
    const written = await this.store.writeObject(buildRecordKey(service), confirmed, objectVersion)
    if (written.isOk()) return ok({ ...confirmed, objectVersion: written.value, replaced: objectVersion })
    return written.error.code === 'STORE_CONFLICT' ? this.change(service, record.versions, (current) => current) : err(written.error)
  }

  /** The epoch of the store as it reported an object. */
  private readEpoch (object: StoredObject | undefined): number {
    return object ? readEpoch(object.version) : this.store.epochs.newest ?? 0
  }

  /** Reads the record of a service; undefined without one. Errors: those of the store; STORE_ANSWER_INVALID if the object is no record. */
  async read (service: string): Promise<Result<StoredVersionRecord | undefined, PulleystackError>> {
    const key = buildRecordKey(service)
    const current = await this.store.readObject(key)
    return current.andThen((object) => {
      const record = object && this.parse(key, object.value, object.version)
      if (object && !record) return err(new PulleystackError('STORE_ANSWER_INVALID', `Object ${key} is no record of the versions of service ${JSON.stringify(service)}`))
      return ok(record)
    })
  }

  private parse (key: string, value: unknown, objectVersion: number): StoredVersionRecord | undefined {
    const record = parseVersionRecord(value)
    if (record && buildRecordKey(record.service) === key) return { ...record, objectVersion }
    this.log.record(DecisionKinds.STORED_RECORD_INVALID, { key })
    return undefined
  }
}
