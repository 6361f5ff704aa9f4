import type { Clock } from '@pulleystack/core.clock'
import type { CacheEvent } from '@pulleystack/backend.interfaces'
import { LRUCache } from 'lru-cache'

export interface BatchOptions {
  clock: Clock
  /** Maximum number of concurrent requests. */
  slots: number
  /** Milliseconds to prefill a block that is not cached. */
  prefillMsPerBlock: number
  /** Milliseconds between tokens while a single request is running. */
  tokenMs: number
  /** Additional milliseconds between tokens for each other running request. */
  batchMsPerRequest: number
  cacheBlocks: number
}

export interface BatchRequest {
  attempt: string
  blocks: number[]
  /** Length of the answer in tokens; generation begins at `offset`. */
  tokens: number
  offset: number
  priority: number
  onToken: (offset: number) => void
  onEnd: () => void
}

interface RunningRequest extends BatchRequest {
  cancelTimer: () => void
}

/** Simulates the timing of an engine with continuous batching and a prefix cache of limited size. */
export class BatchModel {
  /** Factor for all durations; raise it to simulate a slow engine. */
  slowdown = 1
  /** Ids of all attempts started at offset 0. An id that occurs twice was run twice. */
  readonly startedAttempts: string[] = []
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

  /** Returns the cache events since the last call. */
  takeCacheEvents (): CacheEvent[] {
    const events = this.events
    this.events = []
    return events
  }

  /** Returns all cached blocks, for resynchronization. */
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
    while (this.running.size < this.opts.slots && this.waiting.length > 0) this.startRequest(this.waiting.shift() as BatchRequest)
  }

  private startRequest (request: BatchRequest): void {
    if (request.offset === 0) this.startedAttempts.push(request.attempt)
    const uncached = request.blocks.filter((block) => this.cache.get(block) === undefined)
    for (const block of uncached) this.cache.set(block, true)
    if (uncached.length > 0) this.recordCache('stored', uncached)
    const prefillMs = uncached.length * this.opts.prefillMsPerBlock
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
