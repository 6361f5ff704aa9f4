import { defineChannel } from '@pulleystack/membership.peers'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { isName, isRecordId } from './StreamOrigin.js'
import type { VersionSighting } from './VersionHistory.js'

/** Items in a message at most; further ones are ignored. */
export const MAX_ITEMS = 200

/** The origin of a stream, by the request id of the attempt that brought its first event. */
export type RecordItem = [requestId: string, service: string, version: string]
/** A version of a mixed service with the milliseconds since it was last seen. */
export type VersionItem = [service: string, version: string, msAgo: number]

export const RECORDS = defineChannel<RecordItem[]>('origins.records', { isOneShot: true })
export const VERSIONS = defineChannel<VersionItem[]>('origins.versions', { isOneShot: true })
/** Asks for the origin of a stream; the answer holds it if the instance has a record. */
export const LOOKUP = defineChannel<{ requestId: string }, { origin?: [service: string, version: string] }>('origins.lookup')

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
export function parseLookup (body: unknown): string | undefined {
  const { requestId } = (body ?? {}) as { requestId?: unknown }
  return isRecordId(requestId) ? requestId : undefined
}

/** Returns undefined if the answer holds no origin. */
export function parseAnswer (body: unknown): { origin: StreamOrigin | undefined, isValid: boolean } {
  const { origin } = (body ?? {}) as { origin?: unknown }
  if (Array.isArray(origin) && isName(origin[0]) && isName(origin[1])) return { origin: { service: origin[0], version: origin[1] }, isValid: true }
  return { origin: undefined, isValid: typeof body === 'object' && body !== null && (origin === undefined || origin === null) }
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
