import type { Clock } from '@pulleystack/core.clock'

/**
 * What this life of an instance knows of lives before it, and since when it has served beside others. Limits over all instances and some time stand on
 * it, since a former life may have used what it remembers nothing of.
 */
export class LifeRecord {
  private readonly startedAt: number
  /** The first listing of the store named no instance; undefined before it. */
  private foundNobody: boolean | undefined
  /** The first listing of the store did not name this one; undefined before it. */
  private isNewName: boolean | undefined
  /** A listing of the store has shown this instance beside all others. */
  private isListed = false
  /** Monotone time since which this instance has served and known others; undefined before. */
  private sharingSince: number | undefined

  /** `isFirstStart`: the whole system starts for the first time. */
  constructor (private readonly clock: Clock, private readonly isFirstStart: boolean) {
    this.startedAt = clock.readTime()
  }

  /** Takes the instances that a listing of the store named, before this one writes itself unless the system starts for the first time. */
  noteListing (listed: ReadonlySet<string>, self: string): void {
    this.foundNobody ??= listed.size === 0
    this.isNewName ??= !listed.has(self)
  }

  noteListed (): void {
    this.isListed = true
  }

  /** This instance serves, and others that share limits with it can hear of it. */
  noteSharing (): void {
    this.sharingSince ??= this.clock.readTime()
  }

  /** Milliseconds since the life began; infinite when this instance had none before. */
  readLifeMs (): number {
    return this.isFirstStart || this.isNewName ? Infinity : this.clock.readTime() - this.startedAt
  }

  /** Milliseconds for which it has served beside others; infinite when the system began with it; 0 while that is not known. */
  readSharingMs (): number {
    if (this.foundNobody) return Infinity
    if (this.isFirstStart) return this.isListed ? Infinity : 0
    return this.sharingSince === undefined ? 0 : this.clock.readTime() - this.sharingSince
  }
}
