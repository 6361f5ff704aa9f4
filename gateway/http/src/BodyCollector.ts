import type { Holding } from './HeldBytes.js'

const MIN_BLOCK_BYTES = 1 << 10
const MAX_BLOCK_BYTES = 256 << 10

/** Collects a body in blocks that grow, as a chunk of a few bytes costs far more memory than it holds and keeps the whole read buffer that it is part of. */
export class BodyCollector {
  private blocks: Buffer[] = []
  /** Bytes used of the last block. */
  private used = 0
  private size = 0

  /** Counts the blocks with the holding, if any. */
  constructor (private readonly holding?: Pick<Holding, 'add'>) {}

  get bytes (): number {
    return this.size
  }

  /** Throws what the holding throws. */
  add (chunk: Buffer): void {
    for (let at = 0; at < chunk.length;) {
      const block = this.findBlock()
      const copied = chunk.copy(block, this.used, at)
      this.used += copied
      this.size += copied
      at += copied
    }
  }

  /** Drops what was collected. */
  clear (): void {
    this.blocks = []
    this.used = 0
    this.size = 0
  }

  /** Returns the whole body. */
  takeBody (): Buffer {
    const last = this.blocks.at(-1)
    const blocks = last ? [...this.blocks.slice(0, -1), last.subarray(0, this.used)] : []
    this.blocks = []
    return blocks.length === 1 ? blocks[0] as Buffer : Buffer.concat(blocks)
  }

  private findBlock (): Buffer {
    const last = this.blocks.at(-1)
    if (last && this.used < last.length) return last
    const bytes = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.size))
    this.holding?.add(bytes)
    const block = Buffer.allocUnsafeSlow(bytes)
    this.blocks.push(block)
    this.used = 0
    return block
  }
}
