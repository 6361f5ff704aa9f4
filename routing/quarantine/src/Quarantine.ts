import { MAX_RESTORE_LOSS_MS, type ObjectStore } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject, filter, type Observable, type Subscription } from 'rxjs'
import { RunLeases, type LeaseResponse } from './RunLeases.js'
import type { ServerCrash, SuspectUpdate } from './Suspect.js'
import { SuspectArchive } from './SuspectArchive.js'
import { Verdicts, type SuspectRule, type Verdict } from './SuspectRule.js'
import { SuspectTable } from './SuspectTable.js'

interface LeaseRequest {
  identity: string
  lease: string
  /** Milliseconds after which the lease expires. */
  forMs: number
  mustBeOnly: boolean
}

// A lost update isn't repeated by later ones.
const UPDATES = defineChannel<SuspectUpdate[]>('quarantine.news', { isOneShot: true })
const LEASE = defineChannel<LeaseRequest, LeaseResponse>('quarantine.lease')
const LEASE_ENDED = defineChannel<{ identity: string, lease: string }>('quarantine.lease-ended', { isOneShot: true })

const LEASE_TIMEOUT_MS = 250
/** Requests wait at most this long for the stored suspects; after that they run without them. */
const MAX_LOAD_WAIT_MS = 300
/** Maximum time that a request waits for an exclusive run. */
const MAX_LEASE_WAIT_MS = 3_000
/** Interval of retries while waiting, in case the end of the other run isn't announced. */
const LEASE_POLL_MS = 250
/** Suspects without a new crash for this long are removed, unless they are rejected. */
const SUSPECT_TTL_MS = 3_600_000
const SWEEP_INTERVAL_MS = 60_000
/** Maximum number of suspects sent over a new link; the most recent ones are sent. */
const MAX_SENT_SUSPECTS = 512

/** An instance's view of the instances that send requests to backend servers. */
export interface QuarantineMembership {
  instance: string
  /** The other instances that serve and have a live link. */
  listServing: () => readonly string[]
}

export interface QuarantineOptions {
  clock: Clock
  network: PeerNetwork
  membership: QuarantineMembership
  rule: SuspectRule
  log?: DecisionLog
  /** Persists suspects that need an exclusive run or are rejected; undefined when nothing is persisted. */
  store?: ObjectStore
}

/** A permit for one run of a suspect. */
export interface SuspectRun {
  /** The request's owner knows of no other run in progress. */
  isOnly: boolean
  /** Must be called when the run has ended. */
  release: () => void
}

const UNTRACKED_RUN: SuspectRun = { isOnly: false, release: () => undefined }

/**
 * Records requests during which servers crashed, shared by all instances. Each instance announces a crash to the others at once. Leases for runs of a
 * suspect are granted by its owner, an instance chosen by rendezvous hashing over the serving instances.
 */
export class Quarantine {
  private readonly table: SuspectTable
  private readonly leases: RunLeases
  private readonly changed = new Subject<string>()
  private readonly archive: SuspectArchive | undefined
  /** Settles when the stored suspects have been loaded or the wait timed out; undefined afterwards. */
  private loading: Promise<void> | undefined
  /** The signal passed to `start`; undefined before. */
  private signal: AbortSignal | undefined
  private nextLease = 0

  constructor (private readonly opts: QuarantineOptions) {
    this.table = new SuspectTable(opts.rule, () => opts.clock.readTime())
    this.leases = new RunLeases(opts.clock)
    const { clock, store } = opts
    const sources = { judge: (identity: string) => this.judge(identity), listCrashes: (identity: string) => this.listCrashes(identity) }
    this.archive = store && new SuspectArchive({ clock, store, ...sources })
  }

  /** Emits the identity of each request whose verdict may have changed. */
  get changes (): Observable<string> {
    return this.changed
  }

  /** Number of recorded suspects. */
  get size (): number {
    return this.table.size
  }

  /** Server crashes during a request since its last successful run. */
  listCrashes (identity: string): ServerCrash[] {
    return this.table.find(identity)?.listUncleared() ?? []
  }

  judge (identity: string): Verdict {
    return this.table.judge(identity)
  }

  /** Starts exchanging updates with the other instances and loads the stored suspects; stops when the signal aborts. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(LEASE, (_, request) => this.handleLeaseRequest(request))
    const subscriptions: Subscription[] = [
      network.receive(UPDATES).subscribe(({ body }) => this.applyUpdates(body)),
      network.receive(LEASE_ENDED).subscribe(({ body }) => this.leases.release(body.identity, body.lease)),
      network.peerEvents.subscribe((event) => {
        if (event.kind === 'heard' && event.isNewLink) this.sendSuspects(event.identity.instance)
      }),
      ...this.followEpochs(signal),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    void this.load(signal)
    void this.runSweepLoop(signal)
    this.signal = signal
  }

  /**
   * Returns a permit to run a request for at most `forMs` milliseconds. Waits while an exclusive run is required and another run is in progress. Returns
   * undefined when the request may not run or the signal aborts.
   */
  async acquire (identity: string, forMs: number, signal: AbortSignal): Promise<SuspectRun | undefined> {
    const { clock } = this.opts
    await this.loading
    const deadline = clock.readTime() + Math.min(MAX_LEASE_WAIT_MS, forMs)
    for (;;) {
      const verdict = this.judge(identity)
      if (verdict === Verdicts.REJECTED) return undefined
      const run = verdict === Verdicts.ALLOWED ? UNTRACKED_RUN : await this.tryAcquire(identity, { forMs, mustBeOnly: verdict === Verdicts.EXCLUSIVE })
      if (run) return run
      if (clock.readTime() >= deadline || signal.aborted) return undefined
      await this.waitForChange(identity)
    }
  }

  /** Whether loading of the stored suspects has finished or timed out. */
  get isLoaded (): boolean {
    return this.loading === undefined
  }

  /** Records that a server crashed during a request. */
  recordCrash (identity: string, crash: ServerCrash): void {
    this.announce(identity, this.table.apply({ identity, ends: [crash], cleared: [] }))
  }

  /** Records a successful run of a request. */
  recordSuccess (identity: string): void {
    this.announce(identity, this.table.recordSuccess(identity))
  }

  private async runSweepLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(SWEEP_INTERVAL_MS, signal)
      this.table.removeOlder(SUSPECT_TTL_MS)
    }
  }

  private followEpochs (signal: AbortSignal): Subscription[] {
    const restores = this.opts.store?.epochs.changes.pipe(filter(({ previous }) => previous !== undefined))
    return restores ? [restores.subscribe(() => void this.restoreRecent(signal))] : []
  }

  /** Writes recent suspects again after the store was restored from an older snapshot; each is written by its owner, as the first writer may be gone. */
  private async restoreRecent (signal: AbortSignal): Promise<void> {
    const { clock, membership } = this.opts
    const oldestAt = clock.readTime() - MAX_RESTORE_LOSS_MS
    const recent = this.table.list().filter(({ identity, lastCrashAt }) => lastCrashAt >= oldestAt && this.findOwner(identity) === membership.instance)
    for (const { identity } of recent) {
      await this.archive?.storeWithRetries(identity, signal)
      this.opts.log?.record(DecisionKinds.RECORD_RESTORED, { record: 'suspect', key: identity })
    }
  }

  /** The instance that grants leases for a request. */
  private findOwner (identity: string): string {
    const { instance, listServing } = this.opts.membership
    return findOwner(`suspects/${identity}`, [instance, ...listServing()]) ?? instance
  }

  private async load (signal: AbortSignal): Promise<void> {
    if (!this.archive) return
    const reading = this.archive.load(signal).then((updates) => this.applyUpdates(updates))
    this.loading = Promise.race([reading, this.opts.clock.wait(MAX_LOAD_WAIT_MS, signal)])
    await this.loading
    this.loading = undefined
  }

  private async tryAcquire (identity: string, { forMs, mustBeOnly }: { forMs: number, mustBeOnly: boolean }): Promise<SuspectRun | undefined> {
    const lease = `${this.opts.membership.instance}/${this.nextLease++}`
    const owner = this.findOwner(identity)
    const answer = await this.askOwner(owner, { identity, lease, forMs, mustBeOnly })
    // If the owner doesn't respond, the request runs without a lease unless it needs an exclusive run.
    if (answer === undefined) return mustBeOnly ? undefined : UNTRACKED_RUN
    if (!answer.isGranted) return undefined
    return { isOnly: answer.isOnly, release: () => this.releaseLease(owner, identity, lease) }
  }

  /** Resolves when the request's verdict may have changed, or after the poll interval. */
  private waitForChange (identity: string): Promise<void> {
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel()
        subscription.unsubscribe()
        resolve()
      }
      const cancel = this.opts.clock.setTimer(LEASE_POLL_MS, finish)
      const subscription = this.changed.pipe(filter((changed) => changed === identity)).subscribe(finish)
    })
  }

  private async askOwner (owner: string, request: LeaseRequest): Promise<LeaseResponse | undefined> {
    if (owner === this.opts.membership.instance) return this.handleLeaseRequest(request)
    const answer = await this.opts.network.call(owner, LEASE, request, LEASE_TIMEOUT_MS)
    return answer.unwrapOr(undefined)
  }

  /** Decides as the owner of a request, which may have a record of more crashes than the requesting instance. */
  private handleLeaseRequest ({ identity, lease, forMs, mustBeOnly }: LeaseRequest): LeaseResponse {
    const verdict = this.judge(identity)
    if (verdict === Verdicts.REJECTED) return { isGranted: false, isOnly: false }
    return this.leases.acquire(identity, lease, { forMs, mustBeOnly: mustBeOnly || verdict === Verdicts.EXCLUSIVE })
  }

  private releaseLease (owner: string, identity: string, lease: string): void {
    if (owner === this.opts.membership.instance) this.leases.release(identity, lease)
    else this.opts.network.send(owner, LEASE_ENDED, { identity, lease })
  }

  private announce (identity: string, isNew: boolean): void {
    const suspect = this.table.find(identity)
    if (!isNew || !suspect) return
    this.opts.network.broadcast(UPDATES, [suspect.describe()])
    this.changed.next(identity)
    // Only the instance that observed the change writes it to the store.
    if (this.signal) this.updateArchive(identity, this.signal)
  }

  private sendSuspects (peer: string): void {
    const updates = this.table.list().slice(-MAX_SENT_SUSPECTS).map((suspect) => suspect.describe())
    if (updates.length > 0) this.opts.network.send(peer, UPDATES, updates)
  }

  private applyUpdates (updates: readonly SuspectUpdate[]): void {
    for (const update of updates) {
      if (this.table.apply(update)) this.changed.next(update.identity)
    }
  }

  private updateArchive (identity: string, signal: AbortSignal): void {
    const { archive } = this
    const verdict = this.judge(identity)
    if (verdict === Verdicts.EXCLUSIVE || verdict === Verdicts.REJECTED) void archive?.storeIfChanged(identity, signal)
    else if (this.listCrashes(identity).length === 0) void archive?.remove(identity)
  }
}
