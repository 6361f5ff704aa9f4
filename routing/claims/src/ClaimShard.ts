import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { ClaimDecision, ClaimEntry, ClaimRequest } from './ClaimEntry.js'
import { ClaimLog } from './ClaimLog.js'

export interface ClaimShardOptions {
  clock: Clock
  store: ObjectStore
  shard: number
  retentionMs: number
  /** Maximum sustained commits per second; a short burst is not delayed. */
  commitsPerSecond: number
  createOperationId: () => string
}

interface PendingClaim {
  request: ClaimRequest
  deadline: number
  resolve: (decision: ClaimDecision) => void
  reject: (error: PulleystackError) => void
}

interface PendingEntry {
  entry: ClaimEntry
}

type Pending = PendingClaim | PendingEntry

const BURST_COMMITS = 4
const RETRY_DELAY_MS = 100

/**
 * Commits the claims of one shard in batches: claims that arrive during a write go into the next one. The write rate
 * therefore depends on the number of shards, not of requests.
 */
export class ClaimShard {
  commits = 0
  private readonly log: ClaimLog
  private pending: Pending[] = []
  private running = false
  private tokens = BURST_COMMITS
  private refilledAt: number

  constructor (private readonly opts: ClaimShardOptions) {
    this.log = new ClaimLog(opts)
    this.refilledAt = opts.clock.readTime()
  }

  get size (): number {
    return this.log.index.size
  }

  /**
   * Claims a key; resolves with a grant only after the claim is written to the object API. Rejects with CLAIM_UNAVAILABLE
   * at the deadline; the caller then must not send the request and should release the key.
   */
  claim (request: ClaimRequest, deadline: number): Promise<ClaimDecision> {
    const known = this.log.index.decide(request)
    if (known) return Promise.resolve(known)
    return new Promise((resolve, reject) => {
      this.pending.push({ request, deadline, resolve, reject })
      void this.run()
    })
  }

  /** Adds an outcome or a release, written with the next batch. */
  add (entry: ClaimEntry): void {
    this.pending.push({ entry })
    void this.run()
  }

  /** Unloads the log when another instance has become the owner, unless a commit is running. */
  unload (): void {
    if (!this.running) this.log.unload()
  }

  private async run (): Promise<void> {
    if (this.running) return
    this.running = true
    try {
      while (this.pending.length > 0) await this.writeBatch()
    } finally {
      this.running = false
    }
  }

  private async writeBatch (): Promise<void> {
    await this.waitForRateLimit()
    const loaded = await this.log.ensureLoaded()
    if (loaded.isErr()) {
      await this.waitBeforeRetry()
      return
    }
    this.expireOverdue()
    const batch = ClaimLog.takeBatch(this.pending, estimateBytes)
    const entries = this.collectEntries(batch)
    if (entries.length === 0) return
    const appended = await this.log.append(entries)
    if (appended.isErr()) {
      await this.putBack(batch, appended.error)
      return
    }
    this.commits++
    this.settleBatch(batch)
    await this.log.dropExpired()
  }

  /** Resolves the claims that the log already decides; returns the entries to write. */
  private collectEntries (batch: Pending[]): ClaimEntry[] {
    const entries: ClaimEntry[] = []
    const claimedKeys = new Set<string>()
    for (const item of batch) {
      if ('entry' in item) {
        entries.push(item.entry)
        continue
      }
      const known = this.log.index.decide(item.request)
      if (known) item.resolve(known)
      else if (!claimedKeys.has(item.request.key)) {
        claimedKeys.add(item.request.key)
        entries.push({ kind: 'claim', at: this.opts.clock.readWallTime(), ...item.request })
      }
    }
    return entries
  }

  private settleBatch (batch: Pending[]): void {
    for (const item of batch) {
      if (!('request' in item)) continue
      const decision = this.log.index.decide(item.request)
      if (decision) item.resolve(decision)
      else this.pending.push(item)
    }
  }

  private async putBack (batch: Pending[], error: PulleystackError): Promise<void> {
    this.pending.unshift(...batch)
    if (error.code !== 'STORE_CONFLICT') await this.waitBeforeRetry()
  }

  private async waitBeforeRetry (): Promise<void> {
    this.expireOverdue()
    if (this.pending.length > 0) await this.opts.clock.wait(RETRY_DELAY_MS)
    this.expireOverdue()
  }

  private expireOverdue (): void {
    const now = this.opts.clock.readTime()
    const isOverdue = (item: Pending): item is PendingClaim => 'request' in item && item.deadline <= now
    for (const item of this.pending.filter(isOverdue)) item.reject(createUnavailableError())
    this.pending = this.pending.filter((item) => !isOverdue(item))
  }

  private async waitForRateLimit (): Promise<void> {
    const { clock, commitsPerSecond } = this.opts
    const now = clock.readTime()
    this.tokens = Math.min(BURST_COMMITS, this.tokens + (now - this.refilledAt) / 1000 * commitsPerSecond)
    this.refilledAt = now
    this.tokens -= 1
    if (this.tokens < 0) await clock.wait(-this.tokens / commitsPerSecond * 1000)
  }
}

function estimateBytes (item: Pending): number {
  return 'entry' in item && item.entry.kind === 'outcome' ? (item.entry.outcome.body?.length ?? 0) * 2 + 300 : 300
}

function createUnavailableError (): PulleystackError {
  return new PulleystackError('CLAIM_UNAVAILABLE', 'The claim could not be written before the deadline, so the request was not sent', {
    retryAfterSeconds: 5,
    hint: 'Retry with the same Idempotency-Key.',
  })
}
