import type { CacheEvent, ResidentItem } from '@pulleystack/backend.interfaces'

/** A report as its collector passes it on; `items` is left out while nothing changed. */
export interface RunnerUpdate {
  server: string
  life: string
  seq: number
  /** Milliseconds between two reports of this engine, by which silence is told. */
  everyMs: number
  /** Age of the figures in milliseconds when this was sent. */
  ageMs: number
  running: number
  waiting: number
  slots: number
  freeBytes: number
  items?: ResidentItem[]
  cacheEvents: CacheEvent[]
  cacheSeq: number
}
