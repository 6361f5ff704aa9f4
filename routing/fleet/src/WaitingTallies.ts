/** How many requests that can still be in time wait for what, at this instance and at the others. */
export class WaitingTallies {
  private readonly own = new Map<string, number>()
  private readonly others = new Map<string, ReadonlyMap<string, number>>()

  /** One more waits at this instance; the function that it gives ends that. */
  add (name: string): () => void {
    this.own.set(name, this.countOwn(name) + 1)
    return () => {
      const left = this.countOwn(name) - 1
      if (left > 0) this.own.set(name, left)
      else this.own.delete(name)
    }
  }

  countOwn (name: string): number {
    return this.own.get(name) ?? 0
  }

  countElsewhere (name: string): number {
    let sum = 0
    for (const waiting of this.others.values()) sum += waiting.get(name) ?? 0
    return sum
  }

  /** What waits here, for the other instances. */
  listOwn (): [name: string, count: number][] {
    return [...this.own]
  }

  /** Takes what waits at another instance. */
  takeOther (instance: string, waiting: readonly [name: string, count: number][]): void {
    if (waiting.length > 0) this.others.set(instance, new Map(waiting))
    else this.others.delete(instance)
  }
}
