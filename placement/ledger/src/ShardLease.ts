import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import type { ObjectStore } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { createShardRecord, type ShardRecord } from './shardRecord.js'

export interface ShardLeaseOptions {
  clock: Clock
  store: ObjectStore
  shard: string
  /** Name of the holder; contains what changes when the process restarts. */
  holder: string
  leaseMs: number
  /** Longest time that an order may take to reach an engine. */
  orderDelayMs: number
  createOperation: () => string
}

/** How a lease came free. */
export const LeaseOrigins = { EXPIRED: 'expired', RELEASED: 'released', HANDED_OVER: 'handed-over' } as const
export type LeaseOrigin = typeof LeaseOrigins[keyof typeof LeaseOrigins]

// The lease counts from before the write that renewed it, and clocks of two machines run this much apart at most.
const CLOCK_DRIFT = 0.05

/**
 * The lease of one placement shard together with its ledger. Every write of the ledger is a conditional update of the
 * one object that also names the holder, so that a former holder can change nothing. A holder counts its lease from
 * before the write was sent; a successor counts it from when it first saw the write, adds the longest delay of an
 * order, and so never overlaps with orders of the former one.
 */
export class ShardLease {
  /** How this instance came to the lease. */
  takenFrom: LeaseOrigin = LeaseOrigins.EXPIRED
  private record: ShardRecord | undefined
  private version = 0
  private validUntil = -Infinity
  private ordersFrom = Infinity
  /** How often the lease was given up or lost; a write that was on its way then must not bring it back. */
  private drops = 0
  private seen: { version: number, since: number } | undefined

  constructor (private readonly opts: ShardLeaseOptions) {}

  /** True while the own lease runs by the own clock. */
  get isHeld (): boolean {
    return this.record !== undefined && this.opts.clock.readTime() < this.validUntil
  }

  /** The lease was held and no other holder is known, though it may have run out. */
  get isKept (): boolean {
    return this.record !== undefined
  }

  /** True when an order sent now reaches its engine before the lease can go to another, and after any former holder's. */
  get mayOrder (): boolean {
    const now = this.opts.clock.readTime()
    return this.isHeld && now >= this.ordersFrom && now + this.opts.orderDelayMs < this.validUntil
  }

  get fence (): number {
    return this.record?.fence ?? 0
  }

  /** Version of the record as last written or read. */
  get recordVersion (): number {
    return this.version
  }

  /** The holder told that it had written this version of the record; its lease counts from before now, if the version still stands when it is read. */
  noteWritten (version: number): void {
    if (this.seen === undefined || version > this.seen.version) this.seen = { version, since: this.opts.clock.readTime() }
  }

  /** Monotone time after which no order of a former holder can arrive any more. */
  get quietSince (): number {
    return this.ordersFrom
  }

  /** The record as last written; undefined when the lease is not held. */
  readRecord (): ShardRecord | undefined {
    return this.isHeld ? this.record : undefined
  }

  /**
   * Tries to become the holder; false while another's lease may run or the object API does not answer. A holder that said
   * itself that it orders no more need not be waited for; whoever takes from it must know its newest orders.
   */
  async tryTake (handedOver?: { holder: string, fence: number }): Promise<boolean> {
    const read = await this.opts.store.readObject(this.key)
    if (read.isErr()) return false
    const standing = read.value?.value as ShardRecord | undefined
    this.version = read.value?.version ?? 0
    const isHandedOver = standing !== undefined && standing.holder === handedOver?.holder && standing.fence === handedOver.fence
    if (standing && !isHandedOver && !this.isFree(standing)) return false
    const next: ShardRecord = { ...standing ?? createShardRecord(this.opts.shard), holder: this.opts.holder, leaseMs: this.opts.leaseMs, released: false }
    next.fence++
    this.record = undefined
    const written = await this.write(next)
    if (written.isErr()) return false
    this.ordersFrom = this.opts.clock.readTime() + (isHandedOver ? 0 : this.opts.orderDelayMs)
    this.takenFrom = isHandedOver ? LeaseOrigins.HANDED_OVER : standing?.released ? LeaseOrigins.RELEASED : LeaseOrigins.EXPIRED
    return true
  }

  /** Renews the lease by writing the record as it stands; also one that ran out, when nobody has taken it since. */
  async renew (): Promise<Result<void, PulleystackError>> {
    if (!this.record) return err(createLost(this.opts.shard))
    return this.write(structuredClone(this.record))
  }

  /** Changes the record; on failure nothing is changed here, and after a conflict the lease is gone. */
  async update (change: (record: ShardRecord) => void): Promise<Result<void, PulleystackError>> {
    if (!this.record || !this.isHeld) return err(createLost(this.opts.shard))
    const next = structuredClone(this.record)
    change(next)
    return this.write(next)
  }

  /** Gives the lease up after the last order. */
  async release (): Promise<void> {
    if (this.isHeld) await this.update((record) => {
      record.released = true
    })
    this.drop()
  }

  /** Forgets the lease without a word to the object API, as when that can't be reached. */
  abandon (): void {
    this.drop()
  }

  private drop (): void {
    this.drops++
    this.record = undefined
    this.validUntil = -Infinity
    this.ordersFrom = Infinity
    this.seen = undefined
  }

  private get key (): string {
    return `placement/shard/${this.opts.shard}`
  }

  private isFree (standing: ShardRecord): boolean {
    if (standing.released || standing.holder === this.opts.holder) return true
    const now = this.opts.clock.readTime()
    if (this.seen?.version !== this.version) this.seen = { version: this.version, since: now }
    const waitMs = standing.leaseMs * (1 + CLOCK_DRIFT) + this.opts.orderDelayMs
    return now - this.seen.since > waitMs
  }

  private async write (next: ShardRecord): Promise<Result<void, PulleystackError>> {
    const sentAt = this.opts.clock.readTime()
    const { drops } = this
    next.operation = this.opts.createOperation()
    const written = await this.opts.store.writeObject(this.key, next, this.version)
    const settled = written.isErr() && written.error.code === 'STORE_OUTCOME_UNKNOWN' ? await this.readBack(next.operation) : written
    if (settled.isErr()) {
      if (settled.error.code === 'STORE_CONFLICT') this.drop()
      return err(settled.error)
    }
    if (this.drops !== drops) return err(createLost(this.opts.shard))
    this.version = settled.value
    this.record = next
    this.validUntil = sentAt + this.opts.leaseMs
    return ok(undefined)
  }

  private async readBack (operation: string): Promise<Result<number, PulleystackError>> {
    const read = await this.opts.store.readObject(this.key)
    if (read.isErr()) return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'Whether the ledger was written is not known', { cause: read.error }))
    const standing = read.value?.value as ShardRecord | undefined
    if (standing?.operation === operation) return ok(read.value?.version ?? 0)
    if ((read.value?.version ?? 0) !== this.version) return err(createLost(this.opts.shard))
    return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'A write of the ledger was lost or is late'))
  }
}

function createLost (shard: string): PulleystackError {
  return new PulleystackError('STORE_CONFLICT', `Shard ${shard} went to another holder`)
}
