import { hashText } from '@pulleystack/core.hashing'
import type { CacheEvent } from '@pulleystack/backend.interfaces'
import { LRUCache } from 'lru-cache'

/** Prompt characters per block; engines publish hashes of blocks of this size. */
export const BLOCK_CHARACTERS = 256

const MAX_HASHED_BLOCKS = 64
const MAX_INDEXED_BLOCKS = 20_000

/** Hashes a prompt's leading whole blocks; each hash depends on the item and all previous blocks. */
export function hashPrefixBlocks (item: string, prompt: string): number[] {
  const blocks: number[] = []
  let hash = hashText(item)
  const end = Math.min(prompt.length, MAX_HASHED_BLOCKS * BLOCK_CHARACTERS)
  for (let start = 0; start + BLOCK_CHARACTERS <= end; start += BLOCK_CHARACTERS) {
    hash = hashText(prompt.slice(start, start + BLOCK_CHARACTERS), hash)
    blocks.push(hash)
  }
  return blocks
}

// `maxSize` instead of `max`: with `max` the cache preallocates its full capacity for each runner.
function createBlockSet (): LRUCache<number, true> {
  return new LRUCache({ maxSize: MAX_INDEXED_BLOCKS, sizeCalculation: () => 1 })
}

/**
 * Blocks that one engine has cached, according to its events. After a gap in the events, earlier blocks may have been
 * evicted, so they are unconfirmed and count half until the engine reports them again.
 */
export class PrefixIndex {
  private confirmed = createBlockSet()
  private unconfirmed = createBlockSet()
  private lastSeq: number | undefined

  applyEvents (events: readonly CacheEvent[], newestSeq: number): void {
    const firstSeq = events[0]?.seq ?? newestSeq + 1
    if (this.lastSeq !== undefined && firstSeq > this.lastSeq + 1) this.markUnconfirmed()
    for (const event of events) {
      if (this.lastSeq !== undefined && event.seq <= this.lastSeq) continue
      this.applyEvent(event)
    }
    this.lastSeq = Math.max(this.lastSeq ?? 0, newestSeq)
  }

  /** Records the blocks of a prompt sent to the engine as unconfirmed. */
  addUnconfirmed (blocks: readonly number[]): void {
    for (const block of blocks) {
      if (!this.confirmed.has(block)) this.unconfirmed.set(block, true)
    }
  }

  /** Counts the leading blocks that are cached; unconfirmed ones count half. */
  countMatching (blocks: readonly number[]): number {
    let count = 0
    for (const block of blocks) {
      if (this.confirmed.has(block)) count += 1
      else if (this.unconfirmed.has(block)) count += 0.5
      else break
    }
    return count
  }

  clear (): void {
    this.confirmed.clear()
    this.unconfirmed.clear()
    this.lastSeq = undefined
  }

  private applyEvent (event: CacheEvent): void {
    if (event.kind === 'cleared') {
      this.confirmed.clear()
      this.unconfirmed.clear()
      return
    }
    for (const block of event.blocks) {
      this.unconfirmed.delete(block)
      if (event.kind === 'stored') this.confirmed.set(block, true)
      else this.confirmed.delete(block)
    }
  }

  private markUnconfirmed (): void {
    const previous = this.confirmed
    this.confirmed = this.unconfirmed
    this.confirmed.clear()
    this.unconfirmed = previous
  }
}
