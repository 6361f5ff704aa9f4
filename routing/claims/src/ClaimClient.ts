import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { hashText } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { MembershipView } from '@pulleystack/membership.view'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { ClaimDecision, ClaimEntry, ClaimRequest, KeptOutcome } from './ClaimEntry.js'
import { ClaimShard } from './ClaimShard.js'

const CLAIM = defineChannel<{ shard: number, request: ClaimRequest, leftMs: number }, ClaimDecision>('claims.claim')
const ADD = defineChannel<{ shard: number, entry: ClaimEntry }, boolean>('claims.add')

const OWNER_WAIT_MS = 1_500
const ADD_TIMEOUT_MS = 2_000
const MAX_KEPT_BODY = 64 << 10

export interface ClaimClientOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  store: ObjectStore
  shards: number
  keepMs: number
  writesPerSecond: number
  createOperation: () => string
}

/** Claims for this instance's requests, by way of each shard's owner; and this instance's part as an owner. */
export class ClaimClient {
  private readonly shards = new Map<number, ClaimShard>()

  constructor (private readonly opts: ClaimClientOptions) {
    opts.network.handleCalls(CLAIM, (_, body) => this.claimHere(body.shard, body.request, opts.clock.readTime() + body.leftMs))
    opts.network.handleCalls(ADD, (_, body) => {
      this.findShard(body.shard).add(body.entry)
      return true
    })
  }

  /** Commits made by this instance, for metrics and benchmarks. */
  get commits (): number {
    let sum = 0
    for (const shard of this.shards.values()) sum += shard.commits
    return sum
  }

  /** Drops from memory what other instances own now. */
  review (): void {
    for (const [shard, held] of this.shards) {
      if (!this.opts.view.isOwner(`claims/${shard}`)) held.unload()
    }
  }

  /** Keys held in memory here. */
  get size (): number {
    let sum = 0
    for (const shard of this.shards.values()) sum += shard.size
    return sum
  }

  /**
   * Asks for a key until the deadline, first at the shard's owner. An owner that cannot be reached is passed over:
   * the object API alone decides who gets the key.
   */
  async claim (request: ClaimRequest, deadline: number): Promise<ClaimDecision> {
    const shard = hashText(request.key) % this.opts.shards
    const owner = this.opts.view.findOwner(`claims/${shard}`)
    if (owner === this.opts.view.self.instance) return this.claimHere(shard, request, deadline)
    const leftMs = deadline - this.opts.clock.readTime()
    if (leftMs <= 0) throw new PulleystackError('CLAIM_UNAVAILABLE', 'The deadline passed before the claim was written')
    const timeoutMs = Math.min(OWNER_WAIT_MS, leftMs)
    const answer = await this.opts.network.call(owner, CLAIM, { shard, request, leftMs: timeoutMs }, timeoutMs)
    if (answer.isOk()) return answer.value
    if (answer.error.code === 'CLAIM_UNAVAILABLE' && answer.error.ran === Ran.NO && leftMs <= timeoutMs) throw answer.error
    return this.claimHere(shard, request, deadline)
  }

  /** Keeps the answer of a request for its repeats. */
  keepOutcome (request: ClaimRequest, outcome: KeptOutcome): void {
    const tooLarge = (outcome.body?.length ?? 0) > MAX_KEPT_BODY
    const kept = tooLarge ? { status: outcome.status, contentType: outcome.contentType } : outcome
    this.add(request, { kind: 'outcome', key: request.key, request: request.request, outcome: kept, at: this.opts.clock.readWallTime() })
  }

  /** Frees a key whose work was certainly not sent. */
  release (request: ClaimRequest): void {
    this.add(request, { kind: 'release', key: request.key, request: request.request, at: this.opts.clock.readWallTime() })
  }

  private add (request: ClaimRequest, entry: ClaimEntry): void {
    const shard = hashText(request.key) % this.opts.shards
    const owner = this.opts.view.findOwner(`claims/${shard}`)
    if (owner === this.opts.view.self.instance) this.findShard(shard).add(entry)
    else void this.addAt(owner, shard, entry)
  }

  private async addAt (owner: string, shard: number, entry: ClaimEntry): Promise<void> {
    const answer = await this.opts.network.call(owner, ADD, { shard, entry }, ADD_TIMEOUT_MS)
    // Added twice it does no harm: the second has no effect.
    if (answer.isErr()) this.findShard(shard).add(entry)
  }

  private claimHere (shard: number, request: ClaimRequest, deadline: number): Promise<ClaimDecision> {
    return this.findShard(shard).claim(request, deadline)
  }

  private findShard (shard: number): ClaimShard {
    const present = this.shards.get(shard)
    if (present) return present
    const { clock, store, keepMs, createOperation } = this.opts
    const commitsPerSecond = this.opts.writesPerSecond / this.opts.shards
    const created = new ClaimShard({ clock, store, shard, keepMs, createOperation, commitsPerSecond })
    this.shards.set(shard, created)
    return created
  }
}
