import type { CacheEvent, ResidentItem } from '@pulleystack/backend.interfaces'

/** A report as relayed by its collector; `items` is omitted while unchanged. */
export interface RunnerUpdate {
  server: string
  life: string
  seq: number
  /** Milliseconds between two reports of this engine; used to detect missing reports. */
  everyMs: number
  /** Age of the reported values in milliseconds when this was sent. */
  ageMs: number
  running: number
  waiting: number
  slots: number
  freeBytes: number
  items?: ResidentItem[]
  cacheEvents: CacheEvent[]
  cacheSeq: number
}
