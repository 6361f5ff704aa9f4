import { readEpoch } from '@pulleystack/backend.interfaces'
import { hashParts } from '@pulleystack/core.hashing'
import { isName } from './StreamOrigin.js'

export const VERSIONS_PREFIX = 'service-versions/'
export const MAX_RECORDED_VERSIONS = 64
/** More than the longest record takes: twice as many names as versions, each character escaped. */
export const MAX_RECORD_BYTES = 1 << 18

/** The software versions at which streams of a service may have begun. */
export interface VersionRecord {
  service: string
  versions: readonly string[]
  /** Those of the versions that are about to be removed, at which no stream may begin until they are recorded again; never all of them. */
  retired?: readonly string[]
  /** With several versions: the one that was the only one before the others came, while it is among them. */
  base?: string
  /** The record replaced one that could not be read, or has no room for all versions. */
  mayLackVersions?: boolean
  /** Epoch of the store in which the record was last known to have all versions; undefined in one of an earlier release. */
  epoch?: number
}

/** A record and the version of its object in the store, by which instances tell which of two is newer. */
export interface StoredVersionRecord extends VersionRecord {
  objectVersion: number
  /** Version of the object that an instance has just replaced by this one; undefined if the record was read. */
  replaced?: number | undefined
}

export function buildRecordKey (service: string): string {
  return VERSIONS_PREFIX + hashParts([service], undefined)
}

/** Undefined if the value, which may come from another release or be damaged, is no record. */
export function parseVersionRecord (value: unknown): VersionRecord | undefined {
  const { service, versions, retired, base, mayLackVersions, epoch } = (value ?? {}) as Partial<Record<keyof VersionRecord, unknown>>
  if (!isName(service) || !Array.isArray(versions) || versions.length === 0 || versions.length > MAX_RECORDED_VERSIONS) return undefined
  if (!versions.every(isName) || !isEpoch(epoch)) return undefined
  return buildRecord({
    service,
    versions: [...new Set(versions)],
    retired: Array.isArray(retired) && retired.length < versions.length ? retired : [],
    base: isName(base) ? base : undefined,
    mayLackVersions: mayLackVersions === true,
    epoch,
  })
}

/** Builds the first record of a service; `wasUnreadable` if it replaces one that could not be read. */
export function createRecord (service: string, versions: readonly string[], { wasUnreadable }: { wasUnreadable: boolean }): VersionRecord {
  return extendRecord({ service, versions: [], mayLackVersions: wasUnreadable }, versions)
}

/** Adds versions to a record, or makes them count again. */
export function extendRecord (record: VersionRecord, added: readonly string[]): VersionRecord {
  const { service, versions: known, retired = [], base, mayLackVersions = false, epoch } = record
  const all = [...new Set([...known, ...added])]
  const versions = all.slice(0, MAX_RECORDED_VERSIONS)
  return buildRecord({
    service,
    versions,
    retired: retired.filter((version) => !added.includes(version)),
    base: known.length === 1 ? known[0] : base,
    mayLackVersions: mayLackVersions || versions.length < all.length,
    epoch,
  })
}

/** Whether a record has all versions. One of an earlier epoch than the store's may lack those that came after the snapshot from which it was restored. */
export function isComplete ({ mayLackVersions, epoch, objectVersion }: StoredVersionRecord): boolean {
  return !mayLackVersions && (epoch === undefined || epoch === readEpoch(objectVersion))
}

/** Whether streams may begin at a version. */
export function mayBeginAt (record: VersionRecord | undefined, version: string): boolean {
  return record !== undefined && record.versions.includes(version) && !record.retired?.includes(version)
}

/** Retires versions that no longer count, and removes those that were retired before. One always stays, so that a service that was recorded has one. */
export function removeVersions ({ service, versions, retired = [], base, epoch }: VersionRecord, gone: readonly string[]): VersionRecord {
  const left = versions.filter((version) => !gone.includes(version) || !retired.includes(version))
  return buildRecord({ service, versions: left, retired: gone, base, mayLackVersions: false, epoch })
}

export function isSameRecord (one: VersionRecord | undefined, other: VersionRecord): boolean {
  if (!one || !isSameSet(one.versions, other.versions) || !isSameSet(one.retired, other.retired)) return false
  return one.base === other.base && one.mayLackVersions === other.mayLackVersions && one.epoch === other.epoch
}

function isSameSet (one: readonly string[] = [], other: readonly string[] = []): boolean {
  return one.length === other.length && one.every((version) => other.includes(version))
}

interface RecordParts extends Pick<VersionRecord, 'service' | 'versions'> {
  retired: readonly unknown[]
  base: string | undefined
  mayLackVersions: boolean
  epoch: number | undefined
}

/** Leaves out a base that says nothing, and retired versions that the record hasn't. */
function buildRecord ({ service, versions, retired, base, mayLackVersions, epoch }: RecordParts): VersionRecord {
  const hasBase = base !== undefined && versions.length > 1 && versions.includes(base) && !mayLackVersions
  const leaving = versions.filter((version) => retired.includes(version))
  if (leaving.length === versions.length) leaving.pop()
  return {
    service,
    versions,
    ...leaving.length > 0 && { retired: leaving },
    ...hasBase && { base },
    ...mayLackVersions && { mayLackVersions },
    ...epoch !== undefined && { epoch },
  }
}

function isEpoch (epoch: unknown): epoch is number | undefined {
  return epoch === undefined || (Number.isSafeInteger(epoch) && (epoch as number) >= 0)
}
