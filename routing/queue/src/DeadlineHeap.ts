/** Items by earliest deadline; equal deadlines in the order of arrival. */
export class DeadlineHeap<T extends { deadline: number }> {
  private items: { item: T, order: number }[] = []
  private nextOrder = 0

  get size (): number {
    return this.items.length
  }

  peek (): T | undefined {
    return this.items[0]?.item
  }

  push (item: T): void {
    this.items.push({ item, order: this.nextOrder++ })
    this.rise(this.items.length - 1)
  }

  remove (item: T): boolean {
    const at = this.items.findIndex((it) => it.item === item)
    if (at < 0) return false
    const last = this.items.pop()
    if (last && at < this.items.length) {
      this.items[at] = last
      this.sink(at)
      this.rise(at)
    }
    return true
  }

  /** How many have a deadline before this one. */
  countBefore (deadline: number): number {
    return this.items.reduce((sum, it) => it.item.deadline <= deadline ? sum + 1 : sum, 0)
  }

  private isBefore (a: number, b: number): boolean {
    const first = this.items[a]
    const second = this.items[b]
    if (!first || !second) return false
    return first.item.deadline < second.item.deadline || (first.item.deadline === second.item.deadline && first.order < second.order)
  }

  private rise (at: number): void {
    while (at > 0) {
      const parent = (at - 1) >> 1
      if (!this.isBefore(at, parent)) return
      this.swap(at, parent)
      at = parent
    }
  }

  private sink (at: number): void {
    for (;;) {
      const left = at * 2 + 1
      const smaller = this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.isBefore(smaller, at)) return
      this.swap(at, smaller)
      at = smaller
    }
  }

  private swap (a: number, b: number): void {
    const held = this.items[a] as { item: T, order: number }
    this.items[a] = this.items[b] as { item: T, order: number }
    this.items[b] = held
  }
}
