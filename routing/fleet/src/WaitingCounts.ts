/** Numbers of waiting requests that may still meet their latency target, by name, at this instance and at others. */
export class WaitingCounts {
  private readonly own = new Map<string, number>()
  private readonly peers = new Map<string, ReadonlyMap<string, number>>()

  /** Counts one more waiting request here; the returned function removes it. */
  add (name: string): () => void {
    this.own.set(name, this.countOwn(name) + 1)
    return () => {
      const remaining = this.countOwn(name) - 1
      if (remaining > 0) this.own.set(name, remaining)
      else this.own.delete(name)
    }
  }

  countOwn (name: string): number {
    return this.own.get(name) ?? 0
  }

  countAtPeers (name: string): number {
    let sum = 0
    for (const waiting of this.peers.values()) sum += waiting.get(name) ?? 0
    return sum
  }

  /** Counts of this instance, to be sent to the others. */
  listOwn (): [name: string, count: number][] {
    return [...this.own]
  }

  /** Replaces the counts of another instance. */
  applyPeerCounts (instance: string, waiting: readonly [name: string, count: number][]): void {
    if (waiting.length > 0) this.peers.set(instance, new Map(waiting))
    else this.peers.delete(instance)
  }
}
