import type { Clock } from '@pulleystack/core.clock'
import type { CacheEvent } from '@pulleystack/backend.interfaces'
import { LRUCache } from 'lru-cache'

export interface BatchOptions {
  clock: Clock
  /** Requests that run at once. */
  slots: number
  /** Milliseconds to prefill a block that is not cached. */
  prefillMsPerBlock: number
  /** Milliseconds between tokens with one request running. */
  tokenMs: number
  /** Further milliseconds between tokens for each other request running. */
  batchMsPerRequest: number
  cacheBlocks: number
}

export interface BatchRequest {
  attempt: string
  blocks: number[]
  /** Tokens to generate; the offset says where it begins. */
  tokens: number
  offset: number
  priority: number
  onToken: (offset: number) => void
  onEnd: () => void
}

interface RunningRequest extends BatchRequest {
  cancelTimer: () => void
}

/** Timing of an engine with continuous batching and a prefix cache of limited size. */
export class BatchModel {
  /** Multiplies every duration; a sick engine has a large one. */
  slowdown = 1
  /** Attempts ever started; more than once for one id would be a second run. */
  readonly started: string[] = []
  private readonly running = new Map<string, RunningRequest>()
  private waiting: BatchRequest[] = []
  private readonly cache: LRUCache<number, true>
  private events: CacheEvent[] = []
  private cacheSeq = 0

  constructor (private readonly opts: BatchOptions) {
    this.cache = new LRUCache({ max: opts.cacheBlocks, dispose: (_, block, reason) => {
      if (reason === 'evict') this.recordCache('evicted', [block])
    } })
  }

  get load (): { running: number, waiting: number, slots: number } {
    return { running: this.running.size, waiting: this.waiting.length, slots: this.opts.slots }
  }

  get newestCacheSeq (): number {
    return this.cacheSeq
  }

  submit (request: BatchRequest): void {
    this.waiting.push(request)
    this.waiting.sort((a, b) => a.priority - b.priority)
    this.startWaiting()
  }

  cancel (attempt: string): void {
    this.waiting = this.waiting.filter((request) => request.attempt !== attempt)
    const request = this.running.get(attempt)
    if (!request) return
    request.cancelTimer()
    this.running.delete(attempt)
    this.startWaiting()
  }

  /** Cache events since the last call. */
  takeCacheEvents (): CacheEvent[] {
    const events = this.events
    this.events = []
    return events
  }

  /** Blocks cached now, for resynchronisation. */
  listCached (): number[] {
    return [...this.cache.keys()]
  }

  reset (): void {
    for (const request of this.running.values()) request.cancelTimer()
    this.running.clear()
    this.waiting = []
    this.cache.clear()
    this.recordCache('cleared', [])
  }

  private startWaiting (): void {
    while (this.running.size < this.opts.slots && this.waiting.length > 0) this.start(this.waiting.shift() as BatchRequest)
  }

  private start (request: BatchRequest): void {
    if (request.offset === 0) this.started.push(request.attempt)
    const missing = request.blocks.filter((block) => this.cache.get(block) === undefined)
    for (const block of missing) this.cache.set(block, true)
    if (missing.length > 0) this.recordCache('stored', missing)
    const prefillMs = missing.length * this.opts.prefillMsPerBlock
    const running: RunningRequest = { ...request, cancelTimer: () => undefined }
    this.running.set(request.attempt, running)
    this.scheduleToken(running, request.offset, prefillMs)
  }

  private scheduleToken (request: RunningRequest, offset: number, extraMs: number): void {
    const stepMs = this.opts.tokenMs + this.opts.batchMsPerRequest * (this.running.size - 1)
    request.cancelTimer = this.opts.clock.setTimer((stepMs + extraMs) * this.slowdown, () => {
      request.onToken(offset)
      if (offset + 1 >= request.tokens) this.finish(request)
      else this.scheduleToken(request, offset + 1, 0)
    })
  }

  private finish (request: RunningRequest): void {
    this.running.delete(request.attempt)
    request.onEnd()
    this.startWaiting()
  }

  private recordCache (kind: CacheEvent['kind'], blocks: number[]): void {
    this.events.push({ seq: ++this.cacheSeq, kind, blocks })
  }
}
