/** Binary heap of items, earliest deadline first; equal deadlines keep insertion order. */
export class DeadlineHeap<T extends { deadline: number }> {
  private entries: { item: T, order: number }[] = []
  private nextOrder = 0

  get size (): number {
    return this.entries.length
  }

  peek (): T | undefined {
    return this.entries[0]?.item
  }

  push (item: T): void {
    this.entries.push({ item, order: this.nextOrder++ })
    this.siftUp(this.entries.length - 1)
  }

  remove (item: T): boolean {
    const index = this.entries.findIndex((it) => it.item === item)
    if (index < 0) return false
    const last = this.entries.pop()
    if (last && index < this.entries.length) {
      this.entries[index] = last
      this.siftDown(index)
      this.siftUp(index)
    }
    return true
  }

  /** How many have a deadline before this one. */
  countBefore (deadline: number): number {
    return this.entries.reduce((sum, it) => it.item.deadline <= deadline ? sum + 1 : sum, 0)
  }

  private isBefore (a: number, b: number): boolean {
    const first = this.entries[a]
    const second = this.entries[b]
    if (!first || !second) return false
    return first.item.deadline < second.item.deadline || (first.item.deadline === second.item.deadline && first.order < second.order)
  }

  private siftUp (index: number): void {
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!this.isBefore(index, parent)) return
      this.swap(index, parent)
      index = parent
    }
  }

  private siftDown (index: number): void {
    for (;;) {
      const left = index * 2 + 1
      const child = this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.isBefore(child, index)) return
      this.swap(index, child)
      index = child
    }
  }

  private swap (a: number, b: number): void {
    const previous = this.entries[a] as { item: T, order: number }
    this.entries[a] = this.entries[b] as { item: T, order: number }
    this.entries[b] = previous
  }
}
