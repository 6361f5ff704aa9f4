import { hashText } from '@pulleystack/core.hashing'
import type { CacheEvent } from '@pulleystack/backend.interfaces'
import { LRUCache } from 'lru-cache'

/** Characters of a prompt in one block; engines publish hashes of the same blocks. */
export const BLOCK_CHARACTERS = 256

const MAX_HASHED_BLOCKS = 64
const MAX_KEPT_BLOCKS = 20_000

/** Hashes of a prompt's leading blocks, each depending on the item and on all blocks before. */
export function hashPrefixBlocks (item: string, prompt: string): number[] {
  const blocks: number[] = []
  let chain = hashText(item)
  const end = Math.min(prompt.length, MAX_HASHED_BLOCKS * BLOCK_CHARACTERS)
  for (let at = 0; at + BLOCK_CHARACTERS <= end; at += BLOCK_CHARACTERS) {
    chain = hashText(prompt.slice(at, at + BLOCK_CHARACTERS), chain)
    blocks.push(chain)
  }
  return blocks
}

// With `max` the cache would set aside its whole room for each runner at once.
function createBlocks (): LRUCache<number, true> {
  return new LRUCache({ maxSize: MAX_KEPT_BLOCKS, sizeCalculation: () => 1 })
}

/**
 * Which blocks one engine has cached, from its events. After a gap in the events what was known before is
 * doubtful: some of it may have been evicted unseen, so it counts half until the engine confirms it again.
 */
export class PrefixIndex {
  private certain = createBlocks()
  private doubtful = createBlocks()
  private seq: number | undefined

  applyEvents (events: readonly CacheEvent[], newestSeq: number): void {
    const first = events[0]?.seq ?? newestSeq + 1
    if (this.seq !== undefined && first > this.seq + 1) this.markDoubtful()
    for (const event of events) {
      if (this.seq !== undefined && event.seq <= this.seq) continue
      this.applyEvent(event)
    }
    this.seq = Math.max(this.seq ?? 0, newestSeq)
  }

  /** Notes that a prompt was sent there, so that its blocks will be cached. */
  expect (blocks: readonly number[]): void {
    for (const block of blocks) {
      if (!this.certain.has(block)) this.doubtful.set(block, true)
    }
  }

  /** Leading blocks cached, doubtful ones by half. */
  countMatching (blocks: readonly number[]): number {
    let count = 0
    for (const block of blocks) {
      if (this.certain.has(block)) count += 1
      else if (this.doubtful.has(block)) count += 0.5
      else break
    }
    return count
  }

  clear (): void {
    this.certain.clear()
    this.doubtful.clear()
    this.seq = undefined
  }

  private applyEvent (event: CacheEvent): void {
    if (event.kind === 'cleared') {
      this.certain.clear()
      this.doubtful.clear()
      return
    }
    for (const block of event.blocks) {
      this.doubtful.delete(block)
      if (event.kind === 'stored') this.certain.set(block, true)
      else this.certain.delete(block)
    }
  }

  private markDoubtful (): void {
    const before = this.certain
    this.certain = this.doubtful
    this.certain.clear()
    this.doubtful = before
  }
}
