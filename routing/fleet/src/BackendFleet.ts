import { Subject, type Observable } from 'rxjs'
import { Backend } from './Backend.js'
import { nameLife, type BackendEntry, type ServerLife } from './BackendEntry.js'
import type { LoadTally } from './LoadTally.js'
import type { LimitStatement } from './NamedLimit.js'
import type { PromptPart } from './PrefixMemory.js'
import type { PauseSample } from './ReadingShare.js'
import { StatementMemory, type StatedFacts } from './StatedFacts.js'
import { WaitingTallies } from './WaitingTallies.js'

/** What changed in the fleet. */
export interface FleetChange {
  kind: 'added' | 'updated' | 'removed'
  backend: Backend
}

/** Another limit of a server is in force than before. */
export interface LimitChange {
  life: ServerLife
  /** The server said so to this instance, and not to another one. */
  isOwn: boolean
  /** More may be sent there than before. */
  isLoosened: boolean
}

/** What a life of a server said last of its limit. */
export interface ServerLimit {
  life: ServerLife
  statement: LimitStatement
}

/** The shared beginning of a prompt that one server has read. */
export interface SharedPrefix {
  backend: string
  weights: string
  parts: readonly PromptPart[]
}

const MAX_UNTOLD = 64

/** All backend servers, as the directory of servers and the other instances tell. */
export class BackendFleet {
  readonly waiting = new WaitingTallies()
  /** Monotone time at which a peer last told of a limit that stands. */
  limitsToldAt = -Infinity
  private readonly backends = new Map<string, Backend>()
  private readonly byService = new Map<string, Backend[]>()
  private readonly subject = new Subject<FleetChange>()
  private readonly untold: SharedPrefix[] = []
  private readonly untoldPauses = new Map<string, PauseSample>()
  private readonly untoldOutcomes = new Map<string, { failures: number, total: number }>()
  /** Servers where other instances last had something in hand. */
  private readonly loadedByPeers = new Map<string, string[]>()
  private readonly loadSubject = new Subject<void>()
  private readonly statements = new StatementMemory()
  private readonly departureSubject = new Subject<ServerLife>()
  private readonly limitSubject = new Subject<LimitChange>()
  /** Servers that name a limit, by id. */
  private readonly limited = new Map<string, Backend>()

  get changes (): Observable<FleetChange> {
    return this.subject
  }

  /** Tells that this instance has more or less in hand somewhere. */
  get loadChanges (): Observable<void> {
    return this.loadSubject
  }

  /** Notes that a server reads these parts of a prompt, and remembers what is new in it for the other instances. */
  notePrefix (backend: Backend, weights: string, parts: readonly PromptPart[]): void {
    // The last part belongs to one request or session, so that nobody else has a use for it.
    const shared = parts.slice(0, -1)
    const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0)
    const isNew = shared.length > 0 && backend.prefixes.countKept(weights, shared) < sharedTokens
    backend.prefixes.note(weights, parts)
    if (isNew && this.untold.length < MAX_UNTOLD) this.untold.push({ backend: backend.id, weights, parts: shared })
  }

  /** Counts an answer of a server, or its lack, and remembers it for the other instances. */
  noteOutcome (backend: Backend, failed: boolean, now: number): void {
    const failures = failed ? 1 : 0
    backend.failureRate.add(failures, 1, now)
    const untold = this.untoldOutcomes.get(backend.id) ?? { failures: 0, total: 0 }
    this.untoldOutcomes.set(backend.id, { failures: untold.failures + failures, total: untold.total + 1 })
  }

  /** Learns from the longest pause of a stream that ran at a server, as a share of what its route allows, and remembers it for the other instances. */
  notePause (backend: Backend, share: number, now: number): void {
    backend.readingShare.learn({ worst: share, streams: 1 }, now)
    const untold = this.untoldPauses.get(backend.id) ?? { worst: 0, streams: 0 }
    this.untoldPauses.set(backend.id, { worst: Math.max(untold.worst, share), streams: untold.streams + 1 })
  }

  /** Pauses that the other instances have not been told yet. */
  takeUntoldPauses (): [backend: string, worst: number, streams: number][] {
    const pauses = [...this.untoldPauses].map(([id, { worst, streams }]): [string, number, number] => [id, Math.round(worst * 100) / 100, streams])
    this.untoldPauses.clear()
    return pauses
  }

  /** Outcomes that the other instances have not been told yet. */
  takeUntoldOutcomes (): [backend: string, failures: number, total: number][] {
    const outcomes = [...this.untoldOutcomes].map(([id, { failures, total }]): [string, number, number] => [id, failures, total])
    this.untoldOutcomes.clear()
    return outcomes
  }

  /** Prefixes that the other instances have not been told yet. */
  takeUntold (): SharedPrefix[] {
    return this.untold.splice(0)
  }

  /** To be called whenever a server's own tally changed. */
  noteLoadChange (): void {
    this.loadSubject.next()
  }

  find (id: string): Backend | undefined {
    return this.backends.get(id)
  }

  /** Servers of a service, also those that leave. */
  list (service: string): readonly Backend[] {
    return this.byService.get(service) ?? []
  }

  listAll (): Backend[] {
    return [...this.backends.values()]
  }

  /** Takes the whole directory; servers that it leaves out are gone. */
  replaceAll (entries: readonly BackendEntry[]): void {
    const present = new Set(entries.map((entry) => entry.id))
    for (const id of [...this.backends.keys()]) {
      if (!present.has(id)) this.remove(id)
    }
    for (const entry of entries) this.put(entry)
  }

  /** Takes one new or changed entry. */
  put (entry: BackendEntry): void {
    const present = this.backends.get(entry.id)
    if (present && hasRestarted(present.entry, entry)) {
      // Nothing that is known of the former life holds: neither what is in hand there, nor what it has read, holds or was ordered.
      this.remove(entry.id)
    } else if (present) {
      present.update(entry)
      this.subject.next({ kind: 'updated', backend: present })
      return
    }
    const backend = new Backend(entry, this.statements.find(entry))
    this.backends.set(entry.id, backend)
    this.noteLimited(backend)
    this.rebuildService(entry.service)
    this.subject.next({ kind: 'added', backend })
  }

  /** Tells of servers that said to this instance that they leave. */
  get departures (): Observable<ServerLife> {
    return this.departureSubject
  }

  /** Lives that said that they leave, to whichever instance, the newest first. */
  listDepartures (limit: number): ServerLife[] {
    return this.statements.listLeaving(limit)
  }

  /** The server said to this instance that it leaves; gives whether that was news. */
  noteLeaving ({ stated }: Backend): boolean {
    if (!this.takeDeparture(stated.life)) return false
    this.departureSubject.next(stated.life)
    return true
  }

  /** A life of a server is known to leave, whether its entry is known or not; gives whether that was news. */
  takeDeparture (life: ServerLife): boolean {
    const facts = this.findStated(life)
    if (facts.isLeaving) return false
    facts.isLeaving = true
    this.statements.put(facts)
    const present = this.backends.get(life.id)
    if (present?.stated === facts) this.put(present.entry)
    return true
  }

  /** The server wants no requests from this instance for so long; gives whether that was news. */
  noteRetryAfter ({ stated }: Backend, ms: number, now: number): boolean {
    if (!stated.backoff.extend(ms, now)) return false
    this.statements.put(stated)
    return true
  }

  /** Tells of servers that named another limit than was known, to whichever instance. */
  get limitChanges (): Observable<LimitChange> {
    return this.limitSubject
  }

  /** Servers that name a limit. */
  listLimited (): ServerLimit[] {
    return [...this.limited.values()].map(({ stated: { life, limit } }) => ({ life, statement: limit.statement }))
  }

  /** What a life of a server said last of its limit. */
  findLimit (life: ServerLife): LimitStatement {
    return this.findStated(life).limit.statement
  }

  /** The server said to this instance what limit it has, or that it has none; gives whether that was news. */
  noteLimit ({ stated }: Backend, statement: LimitStatement): boolean {
    return this.changeLimit(stated, statement, true)
  }

  /** A life of a server told another instance what limit it has, whether its entry is known or not; gives whether that was news. */
  takeLimit (life: ServerLife, statement: LimitStatement): boolean {
    return this.changeLimit(this.findStated(life), statement, false)
  }

  remove (id: string): void {
    const backend = this.backends.get(id)
    if (!backend) return
    this.backends.delete(id)
    this.limited.delete(id)
    this.rebuildService(backend.entry.service)
    this.subject.next({ kind: 'removed', backend })
  }

  /** Takes what another instance has in hand; servers that it doesn't name have nothing from it. */
  applyPeerLoads (instance: string, loads: ReadonlyMap<string, LoadTally>): void {
    for (const id of this.loadedByPeers.get(instance) ?? []) {
      if (!loads.has(id)) this.backends.get(id)?.takeOther(instance, undefined)
    }
    for (const [id, tally] of loads) this.backends.get(id)?.takeOther(instance, tally)
    this.loadedByPeers.set(instance, [...loads.keys()])
  }

  private changeLimit (stated: StatedFacts, statement: LimitStatement, isOwn: boolean): boolean {
    const before = stated.limit.perSecond ?? Infinity
    if (!stated.limit.take(statement)) return false
    this.statements.put(stated)
    const present = this.backends.get(stated.life.id)
    if (present) this.noteLimited(present)
    this.limitSubject.next({ life: stated.life, isOwn, isLoosened: (stated.limit.perSecond ?? Infinity) > before })
    return true
  }

  private noteLimited (backend: Backend): void {
    if (backend.stated.limit.perSecond === undefined) this.limited.delete(backend.id)
    else this.limited.set(backend.id, backend)
  }

  /** What a life of a server said, whether its entry is known or not. */
  private findStated (life: ServerLife): StatedFacts {
    const present = this.backends.get(life.id)
    return present !== undefined && nameLife(present.entry) === nameLife(life) ? present.stated : this.statements.find(life)
  }

  private rebuildService (service: string): void {
    this.byService.set(service, [...this.backends.values()].filter((backend) => backend.entry.service === service))
  }
}

function hasRestarted (before: BackendEntry, now: BackendEntry): boolean {
  return before.startedAt !== undefined && now.startedAt !== undefined && before.startedAt !== now.startedAt
}
