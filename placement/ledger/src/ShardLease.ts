import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { buildVersion, readEpoch, type ObjectStore } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { computeFirstFence, computeNextFence } from './fences.js'
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
  /** The whole system starts for the first time, so that nobody can hold the lease without a record of it. */
  isFirstStart?: boolean
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
 *
 * A store that comes back from an older copy may have lost the record of the holder. Nobody takes the lease then before a holder that the store has
 * forgotten would have ended; the holder itself, whose right goes on, writes its record again, with its fence.
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
  /** Monotone time until which a holder may order whose record the store has lost. */
  private forgottenUntil = -Infinity

  constructor (private readonly opts: ShardLeaseOptions) {
    opts.store.epochs.changes.subscribe(({ former }) => {
      if (former !== undefined || !opts.isFirstStart) this.holdOff()
    })
  }

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
    const isFree = standing === undefined || isHandedOver || this.isFree(standing)
    if (!isFree || this.mayBeForgotten) return false
    const next: ShardRecord = { ...standing ?? createShardRecord(this.opts.shard), holder: this.opts.holder, leaseMs: this.opts.leaseMs, released: false }
    next.fence = computeNextFence(next.fence, this.version === 0 ? buildVersion(this.epoch, 0) : this.version)
    this.record = undefined
    const written = await this.write(next)
    if (written.isErr()) return false
    // The store may have begun another epoch while the record was on its way.
    if (this.mayBeForgotten) {
      this.drop()
      return false
    }
    this.ordersFrom = this.opts.clock.readTime() + (isHandedOver ? 0 : this.opts.orderDelayMs)
    this.takenFrom = isHandedOver ? LeaseOrigins.HANDED_OVER : standing?.released ? LeaseOrigins.RELEASED : LeaseOrigins.EXPIRED
    return true
  }

  /**
   * Renews the lease by writing the record as it stands; also one that ran out, when nobody has taken it since. In another epoch of the store that can't be
   * told of one that ran out, unless the holder knows by other means (`isHoldingOn`) that nobody could take it.
   */
  async renew (isHoldingOn: () => boolean = () => false): Promise<Result<void, PulleystackError>> {
    if (!this.record) return err(createLost(this.opts.shard))
    const renewed = await this.write(structuredClone(this.record))
    if (renewed.isOk() || !this.record || !this.isOfFormerEpoch) return renewed
    if (this.isHeld || isHoldingOn()) return this.writeAgain()
    this.drop()
    return renewed
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

  /** Writes the own record into the epoch that the store has begun, unless another holder has come there. */
  private async writeAgain (): Promise<Result<void, PulleystackError>> {
    const { drops } = this
    const read = await this.opts.store.readObject(this.key)
    if (read.isErr()) return err(read.error)
    if (!this.record || this.drops !== drops) return err(createLost(this.opts.shard))
    const standing = read.value?.value as ShardRecord | undefined
    if (standing && standing.fence >= computeFirstFence(this.epoch)) {
      this.drop()
      return err(createLost(this.opts.shard))
    }
    this.version = read.value?.version ?? 0
    return this.write(structuredClone(this.record))
  }

  /** Epoch of the store, as far as it is known. */
  private get epoch (): number {
    return this.opts.store.epochs.newest ?? 0
  }

  /** The record was written in an epoch that has ended. */
  private get isOfFormerEpoch (): boolean {
    return readEpoch(this.version) < this.epoch
  }

  /** A holder may order whose record the store has lost. */
  private get mayBeForgotten (): boolean {
    return this.opts.clock.readTime() < this.forgottenUntil
  }

  private holdOff (): void {
    this.forgottenUntil = this.opts.clock.readTime() + this.computeWait(this.opts.leaseMs)
  }

  /** Milliseconds after which a holder that was last seen to write can't order any more. */
  private computeWait (leaseMs: number): number {
    return leaseMs * (1 + CLOCK_DRIFT) + this.opts.orderDelayMs
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
    // A record with a fence of a former epoch may be a write of that time, done late over the record of a present holder.
    const isOfThisEpoch = standing.fence >= computeFirstFence(readEpoch(this.version))
    if (isOfThisEpoch && (standing.released || standing.holder === this.opts.holder)) return true
    const now = this.opts.clock.readTime()
    if (this.seen?.version !== this.version) this.seen = { version: this.version, since: now }
    return now - this.seen.since > this.computeWait(standing.leaseMs)
  }

  private async write (next: ShardRecord): Promise<Result<void, PulleystackError>> {
    const sentAt = this.opts.clock.readTime()
    const { drops } = this
    next.operation = this.opts.createOperation()
    const written = await this.opts.store.writeObject(this.key, next, this.version)
    const settled = written.isErr() && written.error.code === 'STORE_OUTCOME_UNKNOWN' ? await this.readBack(next.operation) : written
    if (settled.isErr()) {
      this.noteFailed(settled.error)
      return err(settled.error)
    }
    if (this.drops !== drops) return err(createLost(this.opts.shard))
    if (this.version !== 0 && readEpoch(settled.value) !== readEpoch(this.version)) {
      this.holdOff()
      return err(new PulleystackError('STORE_RESTORED', `The ledger of ${this.opts.shard} was written in another epoch than it was meant for`))
    }
    this.version = settled.value
    this.record = next
    this.validUntil = sentAt + this.opts.leaseMs
    return ok(undefined)
  }

  private noteFailed (cause: PulleystackError): void {
    // The record of a holder that came in the new epoch may have been overwritten: it orders until its next renewal.
    if (cause.code === 'STORE_RESTORED') this.holdOff()
    if (cause.code === 'STORE_CONFLICT' && !this.isOfFormerEpoch) this.drop()
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
