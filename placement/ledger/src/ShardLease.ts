import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { buildVersion, readEpoch, type ObjectStore } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { computeFirstFence, computeNextFence } from './fences.js'
import { createShardRecord, type ShardRecord, type StoredOrder } from './shardRecord.js'

export interface ShardLeaseOptions {
  clock: Clock
  store: ObjectStore
  shard: string
  /** Name of the holder; differs between process runs of an instance. */
  holder: string
  leaseMs: number
  /** How long before the end of the lease its holder stops sending orders, and for which a successor waits. */
  orderDelayMs: number
  /** Milliseconds for which a new holder waits beyond `orderDelayMs`, as an order may arrive so much later than it was sent; 0 by default. */
  orderMarginMs?: number
  createOperationId: () => string
  /** Orders that may still reach servers, to be stored with each write for a successor that no message reaches; not stored by default. */
  ordersInTransit?: OrdersInTransit
  /** Whether the whole system starts for the first time, so that no instance can hold the lease without a stored record. */
  isFirstStart?: boolean
}

/** Orders that may still reach servers. */
export interface OrdersInTransit {
  list: () => StoredOrder[]
  /** Records those that were stored by a former holder. */
  recordFormer: (orders: readonly StoredOrder[]) => void
}

/** How the lease became available to its holder. */
export const LeaseOrigins = { EXPIRED: 'expired', RELEASED: 'released', HANDED_OVER: 'handed-over' } as const
export type LeaseOrigin = typeof LeaseOrigins[keyof typeof LeaseOrigins]

/** Maximum difference in speed between the clocks of two machines, as a share. */
export const MAX_CLOCK_DRIFT = 0.05

/**
 * The lease of one placement shard, stored in one object with the shard's ledger and written by conditional updates
 * only. The holder counts its lease from before the write was sent; a successor counts from when it first saw that
 * write and adds the order delay and its margin, so that answered orders of the two never overlap.
 *
 * After the store was restored from an older snapshot, no instance acquires the lease until any holder missing from
 * the snapshot must have stopped. Such a holder may write its record again, with the same fence.
 */
export class ShardLease {
  /** How this instance acquired the lease. */
  origin: LeaseOrigin = LeaseOrigins.EXPIRED
  private record: ShardRecord | undefined
  private version = 0
  private validUntil = -Infinity
  private ordersAllowedFrom = Infinity
  /** Counts how often the lease was released or lost, so that a write in flight at that time does not restore it. */
  private dropCount = 0
  private observed: { version: number, since: number } | undefined
  /** Monotonic time until which a holder whose record was lost by the store may send orders. */
  private lostHolderUntil = -Infinity
  /** Whether the latest attempt to acquire the lease found it released; its write may take effect after it was given up. */
  private takesReleased = false

  constructor (private readonly opts: ShardLeaseOptions) {
    opts.store.epochs.changes.subscribe(({ previous }) => {
      if (previous !== undefined || !opts.isFirstStart) this.setLostHolderDeadline()
    })
  }

  /** Whether the lease is held and has not expired by the local clock. */
  get isHeld (): boolean {
    return this.record !== undefined && this.opts.clock.readTime() < this.validUntil
  }

  /** Whether the lease was acquired and is not known to be lost, though it may have expired. */
  get hasRecord (): boolean {
    return this.record !== undefined
  }

  /** Whether an order sent now arrives after those of former holders and before another instance can acquire the lease. */
  get maySendOrders (): boolean {
    const now = this.opts.clock.readTime()
    return this.isHeld && now >= this.ordersAllowedFrom && now + this.opts.orderDelayMs < this.validUntil
  }

  /** Milliseconds for which orders may be sent without another renewal; not positive when none may. */
  get orderRightMs (): number {
    return this.validUntil - this.opts.orderDelayMs - this.opts.clock.readTime()
  }

  get fence (): number {
    return this.record?.fence ?? 0
  }

  /** Version of the record as last written or read. */
  get recordVersion (): number {
    return this.version
  }

  /** Records that the holder announced this version of its record; if it is still current when read, the lease counts from now at the latest. */
  recordHolderWrite (version: number): void {
    if (this.observed === undefined || version > this.observed.version) this.observed = { version, since: this.opts.clock.readTime() }
  }

  /** Monotonic time after which no order of a former holder can arrive. */
  get formerOrdersUntil (): number {
    return this.ordersAllowedFrom
  }

  /** Returns the record as last written; undefined while the lease is not held. */
  readRecord (): ShardRecord | undefined {
    return this.isHeld ? this.record : undefined
  }

  /**
   * Tries to acquire the lease; false while another holder's lease may be valid or the object store does not answer. The
   * lease of `handedOver` is acquired at once: the caller knows that holder's orders and that it sends no more.
   */
  async tryAcquire (handedOver?: { holder: string, fence: number }): Promise<boolean> {
    const read = await this.opts.store.readObject(this.key)
    if (read.isErr()) return false
    const stored = read.value?.value as ShardRecord | undefined
    this.version = read.value?.version ?? 0
    const isHandedOver = stored !== undefined && stored.holder === handedOver?.holder && stored.fence === handedOver.fence
    const isFree = stored === undefined || isHandedOver || this.isFree(stored)
    const isReleased = stored !== undefined && this.isReleased(stored)
    if (!isFree || this.mayHaveLostHolder) return false
    const next: ShardRecord = { ...stored ?? createShardRecord(this.opts.shard), holder: this.opts.holder, leaseMs: this.opts.leaseMs, released: false }
    next.fence = computeNextFence(next.fence, this.version === 0 ? buildVersion(this.epoch, 0) : this.version)
    this.record = undefined
    this.recordFormerOrders(stored)
    this.takesReleased = isReleased
    const written = await this.write(next)
    if (written.isErr()) return false
    // The store may have begun another epoch during the write.
    if (this.mayHaveLostHolder) {
      this.drop()
      return false
    }
    this.ordersAllowedFrom = this.opts.clock.readTime() + (isHandedOver ? 0 : this.opts.orderDelayMs + (this.opts.orderMarginMs ?? 0))
    this.origin = isHandedOver ? LeaseOrigins.HANDED_OVER : isReleased ? LeaseOrigins.RELEASED : LeaseOrigins.EXPIRED
    return true
  }

  /**
   * Renews the lease by writing the record unchanged; also after it expired, if no other instance has acquired it. In a
   * new epoch of the store, an expired lease is renewed only if `isConfirmedHolder` confirms that no other instance can hold it.
   */
  async renew (isConfirmedHolder: () => boolean = () => false): Promise<Result<void, PulleystackError>> {
    if (!this.record) return err(createLostError(this.opts.shard))
    const renewed = await this.write(structuredClone(this.record))
    if (renewed.isOk() || !this.record || !this.isFromFormerEpoch) return renewed
    if (this.isHeld || isConfirmedHolder()) return this.writeToNewEpoch()
    this.drop()
    return renewed
  }

  /** Changes the record. On failure the local record stays as it was, and after a conflict the lease is lost. */
  async update (change: (record: ShardRecord) => void): Promise<Result<void, PulleystackError>> {
    if (!this.record || !this.isHeld) return err(createLostError(this.opts.shard))
    const next = structuredClone(this.record)
    change(next)
    return this.write(next)
  }

  /** Releases the lease. No order may be sent afterwards. */
  async release (): Promise<void> {
    if (this.isHeld) await this.update((record) => {
      record.released = true
    })
    this.drop()
  }

  /** Drops the lease locally, without writing to the object store. */
  abandon (): void {
    this.drop()
  }

  /** Writes the record into the store's new epoch, unless another holder has already written there. */
  private async writeToNewEpoch (): Promise<Result<void, PulleystackError>> {
    const { dropCount } = this
    const read = await this.opts.store.readObject(this.key)
    if (read.isErr()) return err(read.error)
    if (!this.record || this.dropCount !== dropCount) return err(createLostError(this.opts.shard))
    const stored = read.value?.value as ShardRecord | undefined
    if (stored && stored.fence >= computeFirstFence(this.epoch)) {
      this.drop()
      return err(createLostError(this.opts.shard))
    }
    this.version = read.value?.version ?? 0
    return this.write(structuredClone(this.record))
  }

  /** Newest known epoch of the store. */
  private get epoch (): number {
    return this.opts.store.epochs.newest ?? 0
  }

  /** Whether the record was last written or read in an earlier epoch. */
  private get isFromFormerEpoch (): boolean {
    return readEpoch(this.version) < this.epoch
  }

  /** Whether a holder whose record was lost by the store may still send orders. */
  private get mayHaveLostHolder (): boolean {
    return this.opts.clock.readTime() < this.lostHolderUntil
  }

  private setLostHolderDeadline (): void {
    this.lostHolderUntil = this.opts.clock.readTime() + this.computeExpiryMs(this.opts.leaseMs)
  }

  /** Milliseconds after its last observed write until a holder can no longer send orders that arrive. */
  private computeExpiryMs (leaseMs: number): number {
    return leaseMs * (1 + MAX_CLOCK_DRIFT) + this.opts.orderDelayMs
  }

  private drop (): void {
    this.dropCount++
    this.takesReleased = false
    this.record = undefined
    this.validUntil = -Infinity
    this.ordersAllowedFrom = Infinity
    this.observed = undefined
  }

  private get key (): string {
    return `placement/shard/${this.opts.shard}`
  }

  private isReleased ({ released, holder }: ShardRecord): boolean {
    return released || (this.takesReleased && holder === this.opts.holder)
  }

  private isFree (stored: ShardRecord): boolean {
    // A record with a fence of an earlier epoch may be a delayed write that replaced the current holder's record.
    const isFromThisEpoch = stored.fence >= computeFirstFence(readEpoch(this.version))
    if (isFromThisEpoch && (stored.released || stored.holder === this.opts.holder)) return true
    const now = this.opts.clock.readTime()
    if (this.observed?.version !== this.version) this.observed = { version: this.version, since: now }
    return now - this.observed.since > this.computeExpiryMs(stored.leaseMs)
  }

  /** Counts the stored orders from when this version was first seen. */
  private recordFormerOrders (stored: ShardRecord | undefined): void {
    const seenMs = this.observed?.version === this.version ? this.opts.clock.readTime() - this.observed.since : 0
    const orders = Array.isArray(stored?.inTransit) ? stored.inTransit.filter(isStoredOrder) : []
    this.opts.ordersInTransit?.recordFormer(orders.map(([server, agoMs, holder]) => [server, agoMs + seenMs, holder]))
  }

  private async write (next: ShardRecord): Promise<Result<void, PulleystackError>> {
    const sentAt = this.opts.clock.readTime()
    const { dropCount } = this
    next.operation = this.opts.createOperationId()
    if (this.opts.ordersInTransit) next.inTransit = this.opts.ordersInTransit.list()
    const written = await this.opts.store.writeObject(this.key, next, this.version)
    const outcome = written.isErr() && written.error.code === 'STORE_OUTCOME_UNKNOWN' ? await this.checkWritten(next.operation) : written
    if (outcome.isErr()) {
      this.handleWriteError(outcome.error)
      return err(outcome.error)
    }
    if (this.dropCount !== dropCount) return err(createLostError(this.opts.shard))
    if (this.version !== 0 && readEpoch(outcome.value) !== readEpoch(this.version)) {
      this.setLostHolderDeadline()
      return err(new PulleystackError('STORE_RESTORED', `The ledger of shard ${this.opts.shard} was written in a different store epoch than intended`))
    }
    this.version = outcome.value
    this.record = next
    this.validUntil = sentAt + this.opts.leaseMs
    return ok(undefined)
  }

  private handleWriteError (cause: PulleystackError): void {
    // The write may have replaced the record of a holder in the new epoch, which sends orders until its next renewal.
    if (cause.code === 'STORE_RESTORED') this.setLostHolderDeadline()
    if (cause.code === 'STORE_CONFLICT' && !this.isFromFormerEpoch) this.drop()
  }

  private async checkWritten (operation: string): Promise<Result<number, PulleystackError>> {
    const read = await this.opts.store.readObject(this.key)
    if (read.isErr()) return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'It is unknown whether the ledger was written', { cause: read.error }))
    const stored = read.value?.value as ShardRecord | undefined
    if (stored?.operation === operation) return ok(read.value?.version ?? 0)
    if ((read.value?.version ?? 0) !== this.version) return err(createLostError(this.opts.shard))
    return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'A write of the ledger was lost or is delayed'))
  }
}

function createLostError (shard: string): PulleystackError {
  return new PulleystackError('STORE_CONFLICT', `The lease of shard ${shard} is no longer held`)
}

function isStoredOrder (item: unknown): item is StoredOrder {
  return Array.isArray(item) && typeof item[0] === 'string' && typeof item[1] === 'number' && typeof item[2] === 'string'
}
