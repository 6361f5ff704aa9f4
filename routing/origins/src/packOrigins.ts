import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { isName, isRecordId } from './StreamOrigin.js'

type OriginEntry = [id: string, origin: StreamOrigin]

/** Streams of several instances or of one, by their origins, as the store keeps them. */
export interface PackedOrigins {
  streams: [service: string, version: string, ids: string[]][]
}

export function packOrigins (entries: readonly OriginEntry[]): PackedOrigins {
  const groups = new Map<string, PackedOrigins['streams'][number]>()
  for (const [id, { service, version }] of entries) {
    const key = JSON.stringify([service, version])
    const group = groups.get(key) ?? [service, version, []]
    group[2].push(id)
    groups.set(key, group)
  }
  return { streams: [...groups.values()] }
}

export interface UnpackedOrigins {
  streams: OriginEntry[]
  /** Whether all could be read. */
  isValid: boolean
}

/** Returns the readable streams, at most `maxStreams`. */
export function unpackOrigins (value: unknown, maxStreams: number): UnpackedOrigins {
  const { streams: groups } = (value ?? {}) as { streams?: unknown }
  if (!Array.isArray(groups)) return { streams: [], isValid: false }
  const streams: OriginEntry[] = []
  for (const group of groups.slice(0, maxStreams) as unknown[]) {
    const [service, version, ids] = Array.isArray(group) ? group as unknown[] : []
    if (!isName(service) || !isName(version) || !Array.isArray(ids)) return { streams, isValid: false }
    for (const id of ids as unknown[]) {
      if (!isRecordId(id) || streams.length >= maxStreams) return { streams, isValid: false }
      streams.push([id, { service, version }])
    }
  }
  return { streams, isValid: groups.length <= maxStreams }
}
