import { MAX_RESTORE_LOSS_MS, type ObjectStore } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import { keepRunning } from '@pulleystack/core.tasks'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { Subject, filter, type Observable, type Subscription } from 'rxjs'
import { Crash, parseCrashUpdate, type CrashUpdate } from './Crash.js'
import { CrashArchive } from './CrashArchive.js'
import { CrashTable } from './CrashTable.js'
import { listAllTraits, type RequestTraits } from './RequestTraits.js'
import { RunLeases, type LeaseResponse } from './RunLeases.js'
import { Verdicts, type SuspectRule, type Verdict } from './SuspectRule.js'

interface LeaseRequest {
  /** The trait of which this is to be the only run. */
  trait: string
  request: RequestTraits
  lease: string
  /** Milliseconds after which the lease expires. */
  forMs: number
  mustBeExclusive: boolean
}

// A lost update isn't repeated by later ones.
const UPDATES = defineChannel<CrashUpdate[]>('quarantine.crashes', { isOneShot: true })
const LEASE = defineChannel<LeaseRequest, LeaseResponse>('quarantine.run')
const LEASE_ENDED = defineChannel<{ trait: string, lease: string }>('quarantine.run-ended', { isOneShot: true })

const LEASE_TIMEOUT_MS = 250
/** Requests wait at most this long for the stored crashes; after that they run without them. */
const MAX_LOAD_WAIT_MS = 300
/** Maximum time that a request waits for an exclusive run. */
const MAX_LEASE_WAIT_MS = 3_000
/** Interval of retries while waiting, in case the end of the other run isn't announced. */
const LEASE_POLL_MS = 250
/** Crashes are forgotten after this time, unless requests are rejected by them. */
const CRASH_TTL_MS = 7_200_000
const SWEEP_INTERVAL_MS = 60_000
/** Maximum number of crashes sent over a new link; the most recent ones are sent. */
const MAX_SENT_CRASHES = 512

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
  /** Persists crashes by which requests get exclusive runs or are rejected; undefined when nothing is persisted. */
  store?: ObjectStore
}

/** A permit for one run of a request. */
export interface SuspectRun {
  /** No other run of its suspected trait is in progress, as far as the trait's owner knows. */
  isExclusive: boolean
  /** Must be called when the run has ended; may be called when it can't crash the server any more. */
  release: () => void
}

const UNRESTRICTED_RUN: SuspectRun = { isExclusive: false, release: () => undefined }

/** A server's crash as seen by the instance whose request it broke. */
export interface ObservedCrash {
  /** Identifies the crashed incarnation of the server. */
  life: string
  /** Monotonic time at which the request was sent. */
  sentAt: number
  /** The server had begun to write a response to this attempt, so that it can't have crashed on beginning one. */
  hadBegun: boolean
  wasExclusive: boolean
}

/**
 * Records server crashes by the traits of the requests during which they happened, shared by all instances. Each instance announces a crash to the others
 * at once. Leases for exclusive runs are granted by the suspected trait's owner, an instance chosen by rendezvous hashing over the serving instances.
 */
export class Quarantine {
  private readonly table: CrashTable
  private readonly leases: RunLeases
  private readonly changed = new Subject<readonly string[]>()
  private readonly archive: CrashArchive | undefined
  /** Settles when the stored crashes have been loaded or the wait timed out; undefined afterwards. */
  private loading: Promise<void> | undefined
  /** The signal passed to `start`; undefined before. */
  private signal: AbortSignal | undefined
  private nextLease = 0

  constructor (private readonly opts: QuarantineOptions) {
    const { clock, store } = opts
    this.table = new CrashTable(opts.rule, () => clock.readTime())
    this.leases = new RunLeases(clock)
    this.archive = store && new CrashArchive({ clock, store, find: (id) => this.table.find(id) })
  }

  /** Emits traits by which requests may be judged differently from now on. */
  get changes (): Observable<readonly string[]> {
    return this.changed
  }

  /** Number of recorded crashes. */
  get size (): number {
    return this.table.size
  }

  /** Number of servers that crashed and may have done so because of one trait of the request. */
  countCrashedServers (request: RequestTraits): number {
    return Math.max(...listAllTraits(request).map((trait) => this.table.countServers(trait)))
  }

  /** Whether servers crashed during this very request. */
  isAccused ({ identity }: RequestTraits): boolean {
    return this.table.listCrashes(identity).length > 0
  }

  judge (request: RequestTraits): Verdict {
    return this.table.judge(request)
  }

  /** Starts exchanging updates with the other instances and loads the stored crashes; stops when the signal aborts. */
  start (signal: AbortSignal): void {
    const { network } = this.opts
    network.handleCalls(LEASE, (_, request) => this.handleLeaseRequest(request))
    const subscriptions: Subscription[] = [
      network.receive(UPDATES).subscribe(({ body }) => this.applyUpdates(body)),
      network.receive(LEASE_ENDED).subscribe(({ body }) => this.leases.release(body.trait, body.lease)),
      network.peerEvents.subscribe((event) => {
        if (event.kind === 'heard' && event.isNewLink) this.sendCrashes(event.identity.instance)
      }),
      ...this.followEpochs(signal),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    const { clock } = this.opts
    keepRunning({ task: 'load of crash records', clock, signal, run: () => this.load(signal) })
    keepRunning({ task: 'sweep of crash records', clock, signal, run: () => this.runSweepLoop(signal) })
    this.signal = signal
  }

  /**
   * Returns a permit to run a request for at most `forMs` milliseconds. Waits while an exclusive run is required and another run is in progress. Returns
   * undefined when the request may not run or the signal aborts.
   */
  async acquire (request: RequestTraits, forMs: number, signal: AbortSignal): Promise<SuspectRun | undefined> {
    const { clock } = this.opts
    await this.loading
    const deadline = clock.readTime() + Math.min(MAX_LEASE_WAIT_MS, forMs)
    for (;;) {
      const verdict = this.judge(request)
      if (verdict === Verdicts.REJECTED) return undefined
      const run = await this.tryAcquire(request, verdict, forMs)
      if (run) return run
      if (clock.readTime() >= deadline || signal.aborted) return undefined
      await this.waitForChange(request, signal)
    }
  }

  /** Whether loading of the stored crashes has finished or timed out. */
  get isLoaded (): boolean {
    return this.loading === undefined
  }

  /** Records that a server crashed during a request. Once the server had begun to write, only the request as a whole is suspected. */
  recordCrash (request: RequestTraits, { life, sentAt, hadBegun, wasExclusive }: ObservedCrash): void {
    const charges = this.table.buildCharges(hadBegun ? [request.identity] : listAllTraits(request), sentAt)
    const update = { life, identity: request.identity, wasExclusive, charges, cleared: [] }
    const traits = this.table.apply(update)
    if (traits.length === 0) return
    this.announce([update], traits)
    // Only the instance that observed the crash writes it to the store.
    const crash = this.table.find(Crash.formatId(update))
    if (this.signal && crash && isPersistent(crash)) void this.archive?.storeNew(crash.id, this.signal)
  }

  /** Records that a server has begun to write a response, which clears what the request shares with others. */
  recordBegun ({ shared }: RequestTraits): void {
    this.clear(shared)
  }

  /** Records that a server has completed the request. */
  recordServed (request: RequestTraits): void {
    this.clear(listAllTraits(request))
  }

  private clear (traits: readonly string[]): void {
    const updates = this.table.clear(traits)
    if (updates.length > 0) this.announce(updates, traits)
  }

  private announce (updates: readonly CrashUpdate[], traits: readonly string[]): void {
    this.opts.network.broadcast(UPDATES, [...updates])
    this.changed.next(traits)
  }

  private applyUpdates (updates: readonly CrashUpdate[]): void {
    const valid = updates.flatMap((update) => parseCrashUpdate(update) ?? [])
    const traits = valid.flatMap((update) => this.table.apply(update))
    if (traits.length > 0) this.changed.next(traits)
  }

  private sendCrashes (peer: string): void {
    const updates = this.table.list().slice(-MAX_SENT_CRASHES).map((crash) => crash.describe())
    if (updates.length > 0) this.opts.network.send(peer, UPDATES, updates)
  }

  private async runSweepLoop (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.opts.clock.wait(SWEEP_INTERVAL_MS, signal)
      for (const id of this.table.removeOlder(CRASH_TTL_MS)) if (this.isOwner(id)) void this.archive?.remove(id)
    }
  }

  private followEpochs (signal: AbortSignal): Subscription[] {
    const restores = this.opts.store?.epochs.changes.pipe(filter(({ previous }) => previous !== undefined))
    return restores ? [restores.subscribe(() => void this.restoreRecent(signal))] : []
  }

  /** Writes recent crashes again after the store was restored from an older snapshot; each is written by its owner, as the first writer may be gone. */
  private async restoreRecent (signal: AbortSignal): Promise<void> {
    const oldestAt = this.opts.clock.readTime() - MAX_RESTORE_LOSS_MS
    const recent = this.table.list().filter((crash) => crash.at >= oldestAt && isPersistent(crash) && this.isOwner(crash.id))
    for (const { id } of recent) {
      await this.archive?.storeWithRetries(id, signal)
      this.opts.log?.record(DecisionKinds.RECORD_RESTORED, { record: 'suspect', key: id })
    }
  }

  /** The instance that grants leases for a trait, or that maintains the stored record of a crash. */
  private findOwner (key: string): string {
    const { instance, listServing } = this.opts.membership
    return findOwner(`suspects/${key}`, [instance, ...listServing()]) ?? instance
  }

  private isOwner (key: string): boolean {
    return this.findOwner(key) === this.opts.membership.instance
  }

  private async load (signal: AbortSignal): Promise<void> {
    if (!this.archive) return
    const reading = this.archive.load(signal).then((updates) => this.applyUpdates(updates))
    const loading = Promise.race([reading, this.opts.clock.wait(MAX_LOAD_WAIT_MS, signal)])
    // Requests that wait for the records go on without them when they can't be read.
    this.loading = loading.catch(() => undefined)
    try {
      await loading
    } finally {
      this.loading = undefined
    }
  }

  private async tryAcquire (request: RequestTraits, verdict: Verdict, forMs: number): Promise<SuspectRun | undefined> {
    if (verdict === Verdicts.UNDECIDED) return undefined
    if (verdict === Verdicts.ALLOWED) return UNRESTRICTED_RUN
    const lease = `${this.opts.membership.instance}/${this.nextLease++}`
    const trait = this.table.findMainSuspect(request) ?? request.identity
    const owner = this.findOwner(trait)
    const mustBeExclusive = verdict === Verdicts.EXCLUSIVE
    const answer = await this.askOwner(owner, { trait, request, lease, forMs, mustBeExclusive })
    // If the owner doesn't respond, the request runs without a lease unless it needs an exclusive run.
    if (answer === undefined) return mustBeExclusive ? undefined : UNRESTRICTED_RUN
    if (!answer.isGranted) return undefined
    return answer.isExclusive ? this.createRun(() => this.releaseLease(owner, trait, lease)) : UNRESTRICTED_RUN
  }

  private createRun (releaseLease: () => void): SuspectRun {
    let isHeld = true
    return {
      get isExclusive () {
        return isHeld
      },
      release: () => {
        if (!isHeld) return
        isHeld = false
        releaseLease()
      },
    }
  }

  /** Resolves when the request may be judged differently, when the signal aborts, or after the poll interval. */
  private waitForChange (request: RequestTraits, signal: AbortSignal): Promise<void> {
    const traits = listAllTraits(request)
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel()
        subscription.unsubscribe()
        signal.removeEventListener('abort', finish)
        resolve()
      }
      signal.addEventListener('abort', finish, { once: true })
      const cancel = this.opts.clock.setTimer(LEASE_POLL_MS, finish)
      const subscription = this.changed.pipe(filter((changed) => changed.some((trait) => traits.includes(trait)))).subscribe(finish)
    })
  }

  private async askOwner (owner: string, request: LeaseRequest): Promise<LeaseResponse | undefined> {
    if (owner === this.opts.membership.instance) return this.handleLeaseRequest(request)
    const answer = await this.opts.network.call(owner, LEASE, request, LEASE_TIMEOUT_MS)
    return answer.unwrapOr(undefined)
  }

  /** Decides as the owner of a trait, which may have a record of more crashes than the requesting instance. */
  private handleLeaseRequest ({ trait, request, lease, forMs, mustBeExclusive }: LeaseRequest): LeaseResponse {
    const verdict = this.judge(request)
    if (verdict === Verdicts.REJECTED || verdict === Verdicts.UNDECIDED) return { isGranted: false, isExclusive: false }
    const isExclusive = mustBeExclusive || verdict === Verdicts.EXCLUSIVE
    return { isGranted: !isExclusive || this.leases.acquire(trait, lease, forMs), isExclusive }
  }

  private releaseLease (owner: string, trait: string, lease: string): void {
    if (owner === this.opts.membership.instance) this.leases.release(trait, lease)
    else this.opts.network.send(owner, LEASE_ENDED, { trait, lease })
  }
}

/** Whether a crash must survive a restart of all instances. */
function isPersistent (crash: Crash): boolean {
  return crash.wasExclusive || crash.listCharged().some((trait) => crash.readDepth(trait) > 1)
}
