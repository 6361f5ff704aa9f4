import { defineChannel } from '@pulleystack/membership.peers'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { isName, isRecordId } from './StreamOrigin.js'
import type { VersionSighting } from './VersionHistory.js'
import { parseVersionRecord, type StoredVersionRecord } from './VersionRecord.js'

/** Items in a message at most; further ones are ignored. */
export const MAX_ITEMS = 200

/** The origin of a stream, by the request id of the attempt that brought its first event. */
export type RecordItem = [requestId: string, service: string, version: string]
/** A version of a mixed service with the milliseconds since it was last seen. */
export type VersionItem = [service: string, version: string, msAgo: number]

export const RECORDS = defineChannel<RecordItem[]>('origins.records', { isOneShot: true })
export const VERSIONS = defineChannel<VersionItem[]>('origins.versions', { isOneShot: true })
/** A record of a service's versions as the store has it. */
export const RECORDED = defineChannel<StoredVersionRecord>('origins.recorded', { isOneShot: true })
/** Asks for the origin of a stream that could have gone to some services. */
export const LOOKUP = defineChannel<LookupRequest, LookupAnswer>('origins.lookup')

export interface LookupRequest {
  requestId: string
  services?: readonly string[]
}

export interface LookupAnswer {
  /** Where the stream began, if the instance has a record. */
  origin?: [service: string, version: string]
  /** The version of streams without a record, if the instance knows it. */
  base?: string
  /** The same, provided that all instances say so. */
  precededBase?: string
  /** Whether streams may have begun whose records this instance should have but lacks, or that one which it lost had. */
  mayLackRecords?: boolean
}

/** The readable items of a message, and whether others had to be skipped. */
export interface ParsedItems<T> {
  items: T[]
  isValid: boolean
}

export function parseRecords (body: unknown): ParsedItems<RecordItem> {
  return parseItems(body, isRecordItem)
}

export function parseVersions (body: unknown): ParsedItems<VersionItem> {
  return parseItems(body, isVersionItem)
}

/** Returns undefined if the body names no request id that may have a record. */
export function parseLookup (body: unknown): Required<LookupRequest> | undefined {
  const { requestId, services } = (body ?? {}) as { requestId?: unknown, services?: unknown }
  if (!isRecordId(requestId)) return undefined
  return { requestId, services: Array.isArray(services) ? services.slice(0, MAX_ITEMS).filter(isName) : [] }
}

/** An answer to a lookup without what makes no sense. */
export interface ParsedAnswer {
  origin: StreamOrigin | undefined
  base: string | undefined
  precededBase: string | undefined
  mayLackRecords: boolean
  isValid: boolean
}

export function parseAnswer (body: unknown): ParsedAnswer {
  const { origin, base, precededBase, mayLackRecords } = (body ?? {}) as Partial<Record<keyof LookupAnswer, unknown>>
  const isBaseValid = base === undefined || base === null || isName(base)
  const [service, version] = Array.isArray(origin) ? origin as unknown[] : []
  const isOriginValid = isName(service) && isName(version)
  const hasNoOrigin = typeof body === 'object' && body !== null && (origin === undefined || origin === null)
  return {
    origin: isOriginValid ? { service, version } : undefined,
    base: isName(base) ? base : undefined,
    precededBase: isName(precededBase) ? precededBase : undefined,
    // An instance of an earlier release doesn't tell.
    mayLackRecords: mayLackRecords !== false,
    isValid: isBaseValid && (isOriginValid || hasNoOrigin),
  }
}

/** Returns undefined if the body is no record. */
export function parseRecorded (body: unknown): StoredVersionRecord | undefined {
  const record = parseVersionRecord(body)
  const { objectVersion, replaced } = (body ?? {}) as { objectVersion?: unknown, replaced?: unknown }
  if (!record || typeof objectVersion !== 'number' || !Number.isSafeInteger(objectVersion) || objectVersion <= 0) return undefined
  return { ...record, objectVersion, replaced: typeof replaced === 'number' ? replaced : undefined }
}

/** Turns sightings into items, without names that a peer would refuse. */
export function packVersions (sightings: readonly VersionSighting[]): VersionItem[] {
  return sightings.map(({ service, version, msAgo }): VersionItem => [service, version, msAgo]).filter(isVersionItem)
}

/** Splits items into the bodies of as few messages as possible. */
export function splitItems<T> (items: readonly T[]): T[][] {
  return Array.from({ length: Math.ceil(items.length / MAX_ITEMS) }, (_, at) => items.slice(at * MAX_ITEMS, (at + 1) * MAX_ITEMS))
}

function parseItems<T> (body: unknown, isItem: (item: unknown) => item is T): ParsedItems<T> {
  if (!Array.isArray(body)) return { items: [], isValid: false }
  const items = body.slice(0, MAX_ITEMS).filter(isItem)
  return { items, isValid: items.length === body.length }
}

function isRecordItem (item: unknown): item is RecordItem {
  return Array.isArray(item) && isRecordId(item[0]) && isName(item[1]) && isName(item[2])
}

function isVersionItem (item: unknown): item is VersionItem {
  return Array.isArray(item) && isName(item[0]) && isName(item[1]) && Number.isFinite(item[2]) && (item[2] as number) >= 0
}
