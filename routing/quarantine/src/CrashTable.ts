import { Crash, type Charge, type CrashUpdate } from './Crash.js'
import { listAllTraits, type RequestTraits } from './RequestTraits.js'
import { Verdicts, type CrashEvidence, type SuspectRule, type Verdict } from './SuspectRule.js'

/** Bounds the memory used: room for some hundred crashes with a full set of requests each. */
const MAX_SIZE = 32_768

interface RatedTrait {
  trait: string
  depth: number
  servers: number
}

/** One instance's record of server crashes, by the traits of the requests during which they happened. When full, it drops the oldest ones. */
export class CrashTable implements Omit<CrashEvidence, 'now'> {
  /** In the order in which they became known. */
  private readonly crashes = new Map<string, Crash>()
  private readonly byTrait = new Map<string, Set<Crash>>()
  private readonly byLife = new Map<string, Set<Crash>>()
  private changeCount = 0
  private storedTraits = 0

  constructor (private readonly rule: SuspectRule, private readonly readTime: () => number) {}

  /** Number of recorded crashes. */
  get size (): number {
    return this.crashes.size
  }

  get version (): number {
    return this.changeCount
  }

  list (): Crash[] {
    return [...this.crashes.values()]
  }

  find (id: string): Crash | undefined {
    return this.crashes.get(id)
  }

  listCrashes (trait: string): readonly Crash[] {
    return [...this.byTrait.get(trait) ?? []]
  }

  listExclusive (): readonly Crash[] {
    return this.list().filter((crash) => crash.wasExclusive)
  }

  listBeside (crash: Crash): readonly Crash[] {
    return [...this.byLife.get(crash.life) ?? []].filter(({ identity }) => identity !== crash.identity)
  }

  judge (request: RequestTraits): Verdict {
    return this.rule.judge(request, {
      listCrashes: (trait) => this.listCrashes(trait),
      listExclusive: () => this.listExclusive(),
      listBeside: (crash) => this.listBeside(crash),
      version: this.version,
      now: this.readTime(),
    })
  }

  /** The trait of a request with most crashes in a row; undefined if it has no charged one. */
  findMainSuspect (request: RequestTraits): string | undefined {
    const rated = listAllTraits(request).map((trait) => ({ trait, depth: this.computeDepth(trait), servers: this.countServers(trait) }))
    // A shared trait comes before the identity, and all instances choose the same of several equal ones.
    const rankIdentity = (trait: string): number => trait === request.identity ? 1 : 0
    const compare = (a: RatedTrait, b: RatedTrait): number =>
      b.depth - a.depth || b.servers - a.servers || rankIdentity(a.trait) - rankIdentity(b.trait) || (a.trait < b.trait ? -1 : 1)
    return rated.filter(({ depth }) => depth > 0).sort(compare)[0]?.trait
  }

  /** Number of servers that the trait may have crashed. */
  countServers (trait: string): number {
    return new Set(this.listCrashes(trait).map(({ life }) => life)).size
  }

  /** Charges traits of a request that was sent at a monotonic time, and whose server crashed. */
  buildCharges (traits: readonly string[], sentAt: number): Charge[] {
    return traits.map((trait) => [trait, 1 + this.computeDepth(trait, sentAt)])
  }

  /** Merges an update; returns the traits that are charged or cleared by it. */
  apply (update: CrashUpdate): string[] {
    const id = Crash.formatId(update)
    const crash = this.crashes.get(id) ?? new Crash(update.life, update.identity, this.readTime())
    const sizeBefore = crash.size
    const { added, cleared } = crash.merge(update)
    this.storedTraits += crash.size - sizeBefore
    this.crashes.set(id, crash)
    addTo(this.byLife, crash.life, crash)
    for (const trait of added) addTo(this.byTrait, trait, crash)
    for (const trait of cleared) removeFrom(this.byTrait, trait, crash)
    this.changeCount++
    while (this.storedTraits > MAX_SIZE && this.crashes.size > 1) this.remove(this.crashes.values().next().value as Crash)
    return [...added, ...cleared]
  }

  /** Clears traits on which a server began to write a response; returns the updates that this makes. */
  clear (traits: readonly string[]): CrashUpdate[] {
    const clearedByCrash = new Map<Crash, string[]>()
    for (const trait of traits) {
      for (const crash of this.byTrait.get(trait) ?? []) clearedByCrash.set(crash, [...clearedByCrash.get(crash) ?? [], trait])
    }
    const updates = [...clearedByCrash].map(([{ life, identity }, cleared]) => ({ life, identity, wasExclusive: false, charges: [], cleared }))
    for (const update of updates) this.apply(update)
    return updates
  }

  /** Removes crashes older than `maxAgeMs` by which no request is rejected; returns their ids. */
  removeOlder (maxAgeMs: number): string[] {
    const oldestAllowed = this.readTime() - maxAgeMs
    const isRejecting = (crash: Crash): boolean => this.judge({ identity: crash.identity, shared: crash.listCharged() }) === Verdicts.REJECTED
    const old = this.list().filter((crash) => crash.at < oldestAllowed && !isRejecting(crash))
    for (const crash of old) this.remove(crash)
    return old.map(({ id }) => id)
  }

  /** Number of crashes in a row of runs with the trait, as far as known by `until`. */
  private computeDepth (trait: string, until = Infinity): number {
    return this.listCrashes(trait).reduce((depth, crash) => crash.at <= until ? Math.max(depth, crash.readDepth(trait)) : depth, 0)
  }

  private remove (crash: Crash): void {
    this.crashes.delete(crash.id)
    this.storedTraits -= crash.size
    removeFrom(this.byLife, crash.life, crash)
    for (const trait of crash.listCharged()) removeFrom(this.byTrait, trait, crash)
    this.changeCount++
  }
}

function addTo (index: Map<string, Set<Crash>>, key: string, crash: Crash): void {
  index.set(key, (index.get(key) ?? new Set<Crash>()).add(crash))
}

function removeFrom (index: Map<string, Set<Crash>>, key: string, crash: Crash): void {
  const crashes = index.get(key)
  crashes?.delete(crash)
  if (crashes?.size === 0) index.delete(key)
}
