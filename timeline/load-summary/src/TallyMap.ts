/** Tallies by key, created on first use. */
export class TallyMap<Tally> {
  private readonly tallies = new Map<string, Tally>()

  constructor (private readonly create: () => Tally) {}

  /** Returns the tally of a key. */
  get (key: string): Tally {
    const known = this.tallies.get(key)
    if (known !== undefined) return known
    const created = this.create()
    this.tallies.set(key, created)
    return created
  }

  list (): [string, Tally][] {
    return [...this.tallies]
  }
}
