import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { hashText } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { ClaimDecision, ClaimEntry, ClaimRequest, StoredOutcome } from './ClaimEntry.js'
import { ClaimShard } from './ClaimShard.js'

const CLAIM = defineChannel<{ shard: number, request: ClaimRequest, leftMs: number }, ClaimDecision>('claims.claim')
const ADD = defineChannel<{ shard: number, entry: ClaimEntry }, boolean>('claims.add')

const OWNER_TIMEOUT_MS = 1_500
const ADD_TIMEOUT_MS = 2_000
const MAX_STORED_BODY_BYTES = 64 << 10

export interface ClaimClientOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  store: ObjectStore
  shards: number
  retentionMs: number
  writesPerSecond: number
  createOperationId: () => string
}

/** Claims keys for this instance's requests through the owner of each shard, and serves the shards that this instance owns. */
export class ClaimClient {
  private readonly shards = new Map<number, ClaimShard>()

  constructor (private readonly opts: ClaimClientOptions) {
    opts.network.handleCalls(CLAIM, (_, body) => this.claimLocally(body.shard, body.request, opts.clock.readTime() + body.leftMs))
    opts.network.handleCalls(ADD, (_, body) => {
      this.findShard(body.shard).add(body.entry)
      return true
    })
  }

  /** Number of commits made by this instance. */
  get commits (): number {
    let sum = 0
    for (const shard of this.shards.values()) sum += shard.commits
    return sum
  }

  /** Unloads the shards that other instances own now. */
  unloadUnowned (): void {
    for (const [shard, claimShard] of this.shards) {
      if (!this.opts.view.isOwner(`claims/${shard}`)) claimShard.unload()
    }
  }

  /** Number of keys in this instance's memory. */
  get size (): number {
    let sum = 0
    for (const shard of this.shards.values()) sum += shard.size
    return sum
  }

  /**
   * Claims a key through the shard's owner, or directly if the call to the owner fails: the object API alone decides
   * which request gets the key. Rejects with CLAIM_UNAVAILABLE at the deadline.
   */
  async claim (request: ClaimRequest, deadline: number): Promise<ClaimDecision> {
    const shard = hashText(request.key) % this.opts.shards
    const owner = this.opts.view.findOwner(`claims/${shard}`)
    if (owner === this.opts.view.self.instance) return this.claimLocally(shard, request, deadline)
    const remainingMs = deadline - this.opts.clock.readTime()
    if (remainingMs <= 0) throw new PulleystackError('CLAIM_UNAVAILABLE', 'The deadline passed before the claim was written')
    const timeoutMs = Math.min(OWNER_TIMEOUT_MS, remainingMs)
    const response = await this.opts.network.call(owner, CLAIM, { shard, request, leftMs: timeoutMs }, timeoutMs)
    if (response.isOk()) return response.value
    if (response.error.code === 'CLAIM_UNAVAILABLE' && response.error.ran === Ran.NO && remainingMs <= timeoutMs) throw response.error
    return this.claimLocally(shard, request, deadline)
  }

  /** Stores a request's response for its repeats, without the body if that is too large. */
  storeOutcome (request: ClaimRequest, outcome: StoredOutcome): void {
    const tooLarge = (outcome.body?.length ?? 0) > MAX_STORED_BODY_BYTES
    const stored = tooLarge ? { status: outcome.status, contentType: outcome.contentType } : outcome
    this.add(request, { kind: 'outcome', key: request.key, request: request.request, outcome: stored, at: this.opts.clock.readWallTime() })
  }

  /** Releases the key of a request that was certainly not sent. */
  release (request: ClaimRequest): void {
    this.add(request, { kind: 'release', key: request.key, request: request.request, at: this.opts.clock.readWallTime() })
  }

  private add (request: ClaimRequest, entry: ClaimEntry): void {
    const shard = hashText(request.key) % this.opts.shards
    const owner = this.opts.view.findOwner(`claims/${shard}`)
    if (owner === this.opts.view.self.instance) this.findShard(shard).add(entry)
    else void this.sendEntry(owner, shard, entry)
  }

  private async sendEntry (owner: string, shard: number, entry: ClaimEntry): Promise<void> {
    const response = await this.opts.network.call(owner, ADD, { shard, entry }, ADD_TIMEOUT_MS)
    // The owner may have added the entry nevertheless; adding it twice has no effect.
    if (response.isErr()) this.findShard(shard).add(entry)
  }

  private claimLocally (shard: number, request: ClaimRequest, deadline: number): Promise<ClaimDecision> {
    return this.findShard(shard).claim(request, deadline)
  }

  private findShard (shard: number): ClaimShard {
    const existing = this.shards.get(shard)
    if (existing) return existing
    const { clock, store, retentionMs, createOperationId } = this.opts
    const commitsPerSecond = this.opts.writesPerSecond / this.opts.shards
    const created = new ClaimShard({ clock, store, shard, retentionMs, createOperationId, commitsPerSecond })
    this.shards.set(shard, created)
    return created
  }
}
