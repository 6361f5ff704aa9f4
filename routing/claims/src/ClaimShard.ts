import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { ClaimDecision, ClaimEntry, ClaimRequest } from './ClaimEntry.js'
import { ClaimLog } from './ClaimLog.js'

export interface ClaimShardOptions {
  clock: Clock
  store: ObjectStore
  shard: number
  keepMs: number
  /** Commits a second that this shard may make when it is busy; a single claim goes at once. */
  commitsPerSecond: number
  createOperation: () => string
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

const BURST = 4
const RETRY_MS = 100

/**
 * Commits the claims of one shard in groups: whatever came while one write was on its way goes with the next. The
 * writes a second so depend on the number of shards, not of requests.
 */
export class ClaimShard {
  commits = 0
  private readonly log: ClaimLog
  private pending: Pending[] = []
  private running = false
  private tokens = BURST
  private refilledAt: number

  constructor (private readonly opts: ClaimShardOptions) {
    this.log = new ClaimLog(opts)
    this.refilledAt = opts.clock.readTime()
  }

  get size (): number {
    return this.log.index.size
  }

  /**
   * Asks for a key. Granted only after the claim stands in the object API; CLAIM_UNAVAILABLE at the deadline,
   * after which the caller must not send and should release the key.
   */
  claim (request: ClaimRequest, deadline: number): Promise<ClaimDecision> {
    const known = this.log.index.decide(request)
    if (known) return Promise.resolve(known)
    return new Promise((resolve, reject) => {
      this.pending.push({ request, deadline, resolve, reject })
      void this.run()
    })
  }

  /** Adds an outcome or a release; it is written with the next group. */
  add (entry: ClaimEntry): void {
    this.pending.push({ entry })
    void this.run()
  }

  /** Another instance owns the shard now; what is known here may grow old. */
  unload (): void {
    if (!this.running) this.log.unload()
  }

  private async run (): Promise<void> {
    if (this.running) return
    this.running = true
    try {
      while (this.pending.length > 0) await this.commitGroup()
    } finally {
      this.running = false
    }
  }

  private async commitGroup (): Promise<void> {
    await this.waitForTurn()
    const loaded = await this.log.ensureLoaded()
    if (loaded.isErr()) {
      await this.pause()
      return
    }
    this.expireLate()
    const group = ClaimLog.takeBatch(this.pending, measurePending)
    const entries = this.collectEntries(group)
    if (entries.length === 0) return
    const appended = await this.log.append(entries)
    if (appended.isErr()) {
      await this.putBack(group, appended.error)
      return
    }
    this.commits++
    this.settleGroup(group)
    await this.log.dropExpired()
  }

  /** Answers what the log already decides and gives the entries that must be written. */
  private collectEntries (group: Pending[]): ClaimEntry[] {
    const entries: ClaimEntry[] = []
    const taken = new Set<string>()
    for (const item of group) {
      if ('entry' in item) {
        entries.push(item.entry)
        continue
      }
      const known = this.log.index.decide(item.request)
      if (known) item.resolve(known)
      else if (!taken.has(item.request.key)) {
        taken.add(item.request.key)
        entries.push({ kind: 'claim', at: this.opts.clock.readWallTime(), ...item.request })
      }
    }
    return entries
  }

  private settleGroup (group: Pending[]): void {
    for (const item of group) {
      if (!('request' in item)) continue
      const decision = this.log.index.decide(item.request)
      if (decision) item.resolve(decision)
      else this.pending.push(item)
    }
  }

  private async putBack (group: Pending[], error: PulleystackError): Promise<void> {
    this.pending.unshift(...group)
    if (error.code !== 'STORE_CONFLICT') await this.pause()
  }

  private async pause (): Promise<void> {
    this.expireLate()
    if (this.pending.length > 0) await this.opts.clock.wait(RETRY_MS)
    this.expireLate()
  }

  private expireLate (): void {
    const now = this.opts.clock.readTime()
    const isLate = (item: Pending): item is PendingClaim => 'request' in item && item.deadline <= now
    for (const item of this.pending.filter(isLate)) item.reject(createUnavailable())
    this.pending = this.pending.filter((item) => !isLate(item))
  }

  private async waitForTurn (): Promise<void> {
    const { clock, commitsPerSecond } = this.opts
    const now = clock.readTime()
    this.tokens = Math.min(BURST, this.tokens + (now - this.refilledAt) / 1000 * commitsPerSecond)
    this.refilledAt = now
    this.tokens -= 1
    if (this.tokens < 0) await clock.wait(-this.tokens / commitsPerSecond * 1000)
  }
}

function measurePending (item: Pending): number {
  return 'entry' in item && item.entry.kind === 'outcome' ? (item.entry.outcome.body?.length ?? 0) * 2 + 300 : 300
}

function createUnavailable (): PulleystackError {
  return new PulleystackError('CLAIM_UNAVAILABLE', 'The claim could not be written before the deadline, so the request was not sent', {
    retryAfterSeconds: 5,
    hint: 'Ask again with the same Idempotency-Key.',
  })
}
