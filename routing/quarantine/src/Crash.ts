/** A trait of a request during which a server crashed, and its depth: one more than that of the crashes known of it when the request was sent. */
export type Charge = [trait: string, depth: number]

/** What instances announce to each other about one crash. Updates may be applied repeatedly, late and in any order, since they only add. */
export interface CrashUpdate {
  /** Identifies the crashed incarnation of the server. */
  life: string
  /** Identity of the request. */
  identity: string
  /** The request's run was the only exclusive one of its suspected trait. */
  wasExclusive: boolean
  /** Traits of the request that may have caused the crash; empty in updates that only clear some. */
  charges: readonly Charge[]
  /** Traits on which a server has begun to write a response since. */
  cleared: readonly string[]
}

/** Validates an update of a peer, or of the store without cleared traits; undefined if it makes no sense. */
export function parseCrashUpdate (value: unknown): CrashUpdate | undefined {
  const { life, identity, wasExclusive, charges, cleared = [] } = (value ?? {}) as Partial<Record<keyof CrashUpdate, unknown>>
  if (typeof life !== 'string' || typeof identity !== 'string' || !Array.isArray(charges) || !Array.isArray(cleared)) return undefined
  const isText = (it: unknown): it is string => typeof it === 'string'
  return { life, identity, wasExclusive: wasExclusive === true, charges: charges.filter(isCharge), cleared: cleared.filter(isText) }
}

function isCharge (value: unknown): value is Charge {
  return Array.isArray(value) && typeof value[0] === 'string' && Number.isSafeInteger(value[1])
}

/** A server's crash during one request. */
export class Crash {
  private readonly charges = new Map<string, number>()
  private readonly cleared = new Set<string>()
  private isExclusive = false

  constructor (
    readonly life: string,
    readonly identity: string,
    /** Monotonic time at which this instance learned of it. */
    readonly at: number,
  ) {}

  /** Identifies the crash; a request that ran twice on a server counts once. */
  static formatId ({ life, identity }: Pick<CrashUpdate, 'life' | 'identity'>): string {
    return `${life}/${identity}`
  }

  get id (): string {
    return Crash.formatId(this)
  }

  get wasExclusive (): boolean {
    return this.isExclusive
  }

  /** Number of stored traits, which bounds the memory used. */
  get size (): number {
    return this.charges.size + this.cleared.size
  }

  /** Merges an update; returns the traits whose charges were added or cleared. */
  merge ({ wasExclusive, charges, cleared }: CrashUpdate): { added: string[], cleared: string[] } {
    this.isExclusive ||= wasExclusive
    const added = charges.filter(([trait]) => !this.charges.has(trait))
    for (const [trait, depth] of added) this.charges.set(trait, depth)
    const newlyCleared = cleared.filter((trait) => !this.cleared.has(trait))
    for (const trait of newlyCleared) this.cleared.add(trait)
    return { added: added.map(([trait]) => trait).filter((trait) => !this.cleared.has(trait)), cleared: newlyCleared }
  }

  /** Whether the trait may have caused the crash. */
  isCharged (trait: string): boolean {
    return this.charges.has(trait) && !this.cleared.has(trait)
  }

  /** Traits that may have caused the crash. */
  listCharged (): string[] {
    return [...this.charges.keys()].filter((trait) => !this.cleared.has(trait))
  }

  /** Number of crashes in a row, each of a run that was sent after the one before it was known; 0 if the trait isn't charged. */
  readDepth (trait: string): number {
    return this.isCharged(trait) ? this.charges.get(trait) ?? 0 : 0
  }

  describe (): CrashUpdate {
    return { life: this.life, identity: this.identity, wasExclusive: this.isExclusive, charges: [...this.charges], cleared: [...this.cleared] }
  }
}
