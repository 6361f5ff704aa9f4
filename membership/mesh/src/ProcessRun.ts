import type { Clock } from '@pulleystack/core.clock'

/**
 * Tells whether this process run may have had predecessors, and how long it has served beside other instances. Limits over a time window depend on it:
 * a predecessor's usage is not known after a restart.
 */
export class ProcessRun {
  private readonly startedAt: number
  /** Whether the first listing of the store was empty; undefined before it. */
  private foundNoInstances: boolean | undefined
  /** Whether the first listing of the store lacked this instance; undefined before it. */
  private isNewName: boolean | undefined
  /** Whether a listing of the store has included this instance. */
  private isOwnRecordListed = false
  /** Monotonic ms since when this instance has served with others known; undefined before. */
  private sharingSince: number | undefined

  /** @param isFirstStart Whether the whole system starts for the first time. */
  constructor (private readonly clock: Clock, private readonly isFirstStart: boolean) {
    this.startedAt = clock.readTime()
  }

  /** Records a listing of the store. The first one must precede the write of the own record, unless the system starts for the first time. */
  recordListing (listed: ReadonlySet<string>, self: string): void {
    this.foundNoInstances ??= listed.size === 0
    this.isNewName ??= !listed.has(self)
  }

  recordOwnListing (): void {
    this.isOwnRecordListed = true
  }

  /** Marks this instance as serving and visible to the instances that share limits with it. */
  recordServing (): void {
    this.sharingSince ??= this.clock.readTime()
  }

  /** Milliseconds since the process started; Infinity when there was no earlier run. */
  readRunMs (): number {
    return this.isFirstStart || this.isNewName ? Infinity : this.clock.readTime() - this.startedAt
  }

  /** Milliseconds of serving beside other instances; Infinity when the system started with this one; 0 while unknown. */
  readServingMs (): number {
    if (this.foundNoInstances) return Infinity
    if (this.isFirstStart) return this.isOwnRecordListed ? Infinity : 0
    return this.sharingSince === undefined ? 0 : this.clock.readTime() - this.sharingSince
  }
}
