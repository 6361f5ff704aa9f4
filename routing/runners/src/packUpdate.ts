import type { CacheEvent, ResidentItem } from '@pulleystack/backend.interfaces'
import type { RunnerUpdate } from './RunnerUpdate.js'

const CACHE_KINDS = ['stored', 'evicted', 'cleared'] as const
const ITEM_STATES = ['loading', 'ready'] as const

type PackedEvent = [seq: number, kind: number, blocks: number[]]
type PackedItem = [item: string, bytes: number, state: number]

/** An update as a tuple without field names, the most frequent message between instances. */
export type PackedUpdate = [
  server: string,
life: string,
seq: number,
everyMs: number,
ageMs: number,
running: number,
waiting: number,
slots: number,
freeBytes: number,
  cacheSeq: number,
cacheEvents: PackedEvent[],
items: PackedItem[] | null,
]

/** Packs an update; its age and interval are rounded up to whole milliseconds. */
export function packUpdate (update: RunnerUpdate): PackedUpdate {
  const { server, life, seq, everyMs, ageMs, running, waiting, slots, freeBytes, cacheSeq } = update
  const events = update.cacheEvents.map((event): PackedEvent => [event.seq, CACHE_KINDS.indexOf(event.kind), event.blocks])
  const items = update.items?.map((item): PackedItem => [item.item, item.bytes, ITEM_STATES.indexOf(item.state)])
  return [server, life, seq, Math.ceil(everyMs), Math.ceil(ageMs), running, waiting, slots, freeBytes, cacheSeq, events, items ?? null]
}

export function unpackUpdate (packed: PackedUpdate): RunnerUpdate {
  const [server, life, seq, everyMs, ageMs, running, waiting, slots, freeBytes, cacheSeq, events, items] = packed
  const cacheEvents = events.map(([eventSeq, kind, blocks]): CacheEvent => ({ seq: eventSeq, kind: CACHE_KINDS[kind] ?? 'cleared', blocks }))
  const update: RunnerUpdate = { server, life, seq, everyMs, ageMs, running, waiting, slots, freeBytes, cacheSeq, cacheEvents }
  if (items) update.items = items.map(([item, bytes, state]): ResidentItem => ({ item, bytes, state: ITEM_STATES[state] ?? 'loading' }))
  return update
}
