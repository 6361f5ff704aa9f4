import { LONGEST_LOSS_MS, type ObjectStore } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject, filter, type Observable, type Subscription } from 'rxjs'
import { RunLeases, type LeaseAnswer } from './RunLeases.js'
import type { ServerEnd, SuspectNews } from './Suspect.js'
import { SuspectArchive } from './SuspectArchive.js'
import { Verdicts, type SuspectRule, type Verdict } from './SuspectRule.js'
import { SuspectTable } from './SuspectTable.js'

interface LeaseRequest {
  identity: string
  lease: string
  /** Milliseconds after which the run has surely ended. */
  forMs: number
  mustBeOnly: boolean
}

// No later message makes up for a lost one.
const NEWS = defineChannel<SuspectNews[]>('quarantine.news', { isOnce: true })
const LEASE = defineChannel<LeaseRequest, LeaseAnswer>('quarantine.lease')
const LEASE_ENDED = defineChannel<{ identity: string, lease: string }>('quarantine.lease-ended', { isOnce: true })

/** An instance answers within a few milliseconds, unless it is gone or does not run. */
const LEASE_CALL_MS = 250
/** Requests wait so long at most for what the store keeps; it answers within a few milliseconds unless it is away, and then they run without. */
const LOAD_MS = 300
/** A request that may not run beside another run of it waits for that run's end so long at most; streams on the users' sheets last two to four seconds. */
const WAIT_MS = 3_000
/** It looks so often whether that run has ended without word. */
const LOOK_AGAIN_MS = 250
/** Requests that were not heard of for so long, and aren't refused, are forgotten; looked for so often. */
const FORGET_MS = 3_600_000
const SWEEP_MS = 60_000
/** Suspects that are told over a new link, the newest first: 74 KB with two ends each. */
const MAX_TOLD = 512

/** How an instance stands among those that send requests to servers. */
export interface QuarantineStanding {
  instance: string
  /** The other instances that serve and have a live link. */
  listServing: () => readonly string[]
}

export interface QuarantineOptions {
  clock: Clock
  network: PeerNetwork
  standing: QuarantineStanding
  rule: SuspectRule
  log?: DecisionLog
  /** Keeps the worst suspects over the end of all instances; undefined where nothing does. */
  store?: ObjectStore
}

/** The right to one run of a suspect. */
export interface SuspectRun {
  /** No other run of the request is under way, as far as its owner knows. */
  isOnly: boolean
  /** To be called once the run has ended. */
  release: () => void
}

const UNCOUNTED_RUN: SuspectRun = { isOnly: false, release: () => undefined }

/**
 * What all instances together know of requests under which servers ended. Each tells the others of an end at once; who may run a suspect when no other
 * run of it may be under way is decided by one instance that all agree on (rendezvous hashing over those that serve).
 */
export class Quarantine {
  private readonly table: SuspectTable
  private readonly leases: RunLeases
  private readonly changed = new Subject<string>()
  private readonly archive: SuspectArchive | undefined
  /** Settles when what is kept has been read or is waited for no longer; undefined from then on. */
  private loaded: Promise<void> | undefined
  /** Ends what was started; undefined before. */
  private signal: AbortSignal | undefined
  private lastLease = 0

  constructor (private readonly opts: QuarantineOptions) {
    this.table = new SuspectTable(opts.rule, () => opts.clock.readTime())
    this.leases = new RunLeases(opts.clock)
    const { clock, store } = opts
    const sources = { judge: (identity: string) => this.judge(identity), describe: (identity: string) => this.listEnds(identity) }
    this.archive = store && new SuspectArchive({ clock, store, ...sources })
  }

  /** Tells which requests are judged anew. */
  get changes (): Observable<string> {
    return this.changed
  }

  /** Requests that are remembered. */
  get size (): number {
    return this.table.size
  }

  /** Ends of servers under a request since it last ended well. */
  listEnds (identity: string): ServerEnd[] {
    return this.table.find(identity)?.listOpen() ?? []
  }

  judge (identity: string): Verdict {
    return this.table.judge(identity)
  }

  /** Begins to listen to the others and reads what is kept; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(LEASE, (_, request) => this.judgeLease(request))
    const subscriptions: Subscription[] = [
      network.receive(NEWS).subscribe(({ body }) => this.takeNews(body)),
      network.receive(LEASE_ENDED).subscribe(({ body }) => this.leases.release(body.identity, body.lease)),
      network.peerEvents.subscribe((event) => {
        if (event.kind === 'heard' && event.isNewLink) this.tellAll(event.identity.instance)
      }),
      ...this.followEpochs(signal),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    void this.load(signal)
    void this.keepSweeping(signal)
    this.signal = signal
  }

  /**
   * The right to run a request for so long at most. Waits while another run of it has to end first, since that one most likely shows that the request is
   * innocent; undefined when it may not run or the signal ends.
   */
  async acquire (identity: string, forMs: number, signal: AbortSignal): Promise<SuspectRun | undefined> {
    const { clock } = this.opts
    await this.loaded
    const until = clock.readTime() + Math.min(WAIT_MS, forMs)
    for (;;) {
      const verdict = this.judge(identity)
      if (verdict === Verdicts.REFUSED) return undefined
      const run = verdict === Verdicts.FREE ? UNCOUNTED_RUN : await this.tryAcquire(identity, { forMs, mustBeOnly: verdict === Verdicts.ALONE })
      if (run) return run
      if (clock.readTime() >= until || signal.aborted) return undefined
      await this.waitForChange(identity)
    }
  }

  /** Whether requests need not wait for what is kept from before the start. */
  get isLoaded (): boolean {
    return this.loaded === undefined
  }

  /** A server ended under a request. */
  noteServerEnd (identity: string, end: ServerEnd): void {
    this.tell(identity, this.table.take({ identity, ends: [end], cleared: [] }))
  }

  /** A run of the request ended well. */
  noteGoodEnd (identity: string): void {
    this.tell(identity, this.table.noteGoodEnd(identity))
  }

  private async keepSweeping (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(SWEEP_MS, signal)
      this.table.forgetOlder(FORGET_MS)
    }
  }

  private followEpochs (signal: AbortSignal): Subscription[] {
    const restored = this.opts.store?.epochs.changes.pipe(filter(({ former }) => former !== undefined))
    return restored ? [restored.subscribe(() => void this.keepAgain(signal))] : []
  }

  /** Has what the store may have lost written again, each by the one instance that all agree on: whoever wrote it may be gone. */
  private async keepAgain (signal: AbortSignal): Promise<void> {
    const { clock, standing } = this.opts
    const since = clock.readTime() - LONGEST_LOSS_MS
    const recent = this.table.list().filter(({ identity, endedAt }) => endedAt >= since && this.findOwner(identity) === standing.instance)
    for (const { identity } of recent) {
      await this.archive?.keepAgain(identity, signal)
      this.opts.log?.record(DecisionKinds.RECORD_RESTORED, { record: 'suspect', key: identity })
    }
  }

  /** The instance that decides about runs of a request. */
  private findOwner (identity: string): string {
    const { instance, listServing } = this.opts.standing
    return findOwner(`suspects/${identity}`, [instance, ...listServing()]) ?? instance
  }

  private async load (signal: AbortSignal): Promise<void> {
    if (!this.archive) return
    const reading = this.archive.load(signal).then((news) => this.takeNews(news))
    this.loaded = Promise.race([reading, this.opts.clock.wait(LOAD_MS, signal)])
    await this.loaded
    this.loaded = undefined
  }

  private async tryAcquire (identity: string, { forMs, mustBeOnly }: { forMs: number, mustBeOnly: boolean }): Promise<SuspectRun | undefined> {
    const lease = `${this.opts.standing.instance}/${this.lastLease++}`
    const owner = this.findOwner(identity)
    const answer = await this.askOwner(owner, { identity, lease, forMs, mustBeOnly })
    // Without its owner's word a request runs like any other unless two servers have ended under it.
    if (answer === undefined) return mustBeOnly ? undefined : UNCOUNTED_RUN
    if (!answer.isGranted) return undefined
    return { isOnly: answer.isOnly, release: () => this.releaseAt(owner, identity, lease) }
  }

  /** Resolves when the request is judged anew, or it is time to look again. */
  private waitForChange (identity: string): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel()
        subscription.unsubscribe()
        resolve()
      }
      const cancel = this.opts.clock.setTimer(LOOK_AGAIN_MS, finish)
      const subscription = this.changed.pipe(filter((changed) => changed === identity)).subscribe(finish)
    })
  }

  private async askOwner (owner: string, request: LeaseRequest): Promise<LeaseAnswer | undefined> {
    if (owner === this.opts.standing.instance) return this.judgeLease(request)
    const answer = await this.opts.network.call(owner, LEASE, request, LEASE_CALL_MS)
    return answer.unwrapOr(undefined)
  }

  /** Decides about a run as the owner of the request, which may know of more ends than the instance that asks. */
  private judgeLease ({ identity, lease, forMs, mustBeOnly }: LeaseRequest): LeaseAnswer {
    const verdict = this.judge(identity)
    if (verdict === Verdicts.REFUSED) return { isGranted: false, isOnly: false }
    return this.leases.acquire(identity, lease, { forMs, mustBeOnly: mustBeOnly || verdict === Verdicts.ALONE })
  }

  private releaseAt (owner: string, identity: string, lease: string): void {
    if (owner === this.opts.standing.instance) this.leases.release(identity, lease)
    else this.opts.network.send(owner, LEASE_ENDED, { identity, lease })
  }

  private tell (identity: string, isNew: boolean): void {
    const suspect = this.table.find(identity)
    if (!isNew || !suspect) return
    this.opts.network.broadcast(NEWS, [suspect.describe()])
    this.changed.next(identity)
    // Whoever saw it writes it; the others only know.
    if (this.signal) this.keepOrForget(identity, this.signal)
  }

  private tellAll (peer: string): void {
    const news = this.table.list().slice(-MAX_TOLD).map((suspect) => suspect.describe())
    if (news.length > 0) this.opts.network.send(peer, NEWS, news)
  }

  private takeNews (news: readonly SuspectNews[]): void {
    for (const each of news) {
      if (this.table.take(each)) this.changed.next(each.identity)
    }
  }

  private keepOrForget (identity: string, signal: AbortSignal): void {
    const { archive } = this
    const verdict = this.judge(identity)
    if (verdict === Verdicts.ALONE || verdict === Verdicts.REFUSED) void archive?.keep(identity, signal)
    else if (this.listEnds(identity).length === 0) void archive?.forget(identity)
  }
}
