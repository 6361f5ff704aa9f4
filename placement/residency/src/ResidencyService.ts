import { LeaseOrigins, type ShardLease } from '@pulleystack/placement.ledger'
import { readEpoch } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { DEMAND, HANDOVER, HOLDER_BEAT, NEED, WEIGHTS, type Handover, type HolderBeat, type WeightsChange } from './channels.js'
import type { AskedWeights, NeedAnswer, WeightsNeed } from './ResidencyClient.js'
import { ResidencyClient } from './ResidencyClient.js'
import type { OutageGrants } from './OutageGrants.js'
import { LocalDemand } from './LocalDemand.js'
import type { ResidencyHolder } from './ResidencyHolder.js'
import type { HoldOff } from './ServerLoads.js'

/** Times as shares of the lease's life. */
const Shares = {
  HOLDER_TICK: 1 / 15,
  OTHER_TICK: 1 / 6,
  RENEW: 0.27,
  BEAT: 0.2,
  PLAN: 1 / 15,
  DEMAND: 0.15,
  /** A holder that was not heard for this long is not known to be well. */
  HOLDER_SILENT: 0.65,
  TAKE: 1 / 6,
  /** After an outage a holder that renews first goes on; the store answers, or another holder has taken the lease, well before. */
  AFTER_OUTAGE: 0.5,
  /** How often the others are asked for their word during an outage; three times in the life of a grant. */
  ASK_GRANTS: 0.1,
  /** A planned stop during an outage leaves the lease no later than this after its begin, when others still find the time to take it. */
  STOP_LATEST: 2.5,
  /**
   * An instance that handed over leaves the lease to others for this long, or until one has taken it: they know its newest orders and need not
   * wait for the lease to run out, while it may have restarted and forgotten them.
   */
  STAND_BACK: 7.5,
} as const
/** An instance that does not answer within this time is taken for gone; between halls an answer takes a few milliseconds. */
const CALL_MS = 500
/** How long the holder's word on a model stands against the server's entry; entries follow within two heartbeats. */
const CHANGE_KEPT_MS = 15_000
/** Orders that were under way when the right to order ended are answered or given up by then. */
const ORDERS_END_MS = 400
/** An outage of the store shows to all instances within this time after a holder could renew no more; orders under way have ended by then too. */
const GIVE_UP_MS = 700

/** An instance that could hold the lease. */
export interface HolderCandidate {
  instance: string
  /** Processor cores that it may use. */
  capacity: number
}

export interface ResidencyServiceOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  log: DecisionLog
  instance: string
  lease: ShardLease
  leaseMs: number
  /** The holder's name in the lease. */
  life: string
  /** Least time between orders of two holders to one server. */
  turnMs: number
  holder: ResidencyHolder
  grants: OutageGrants
  /** Live instances that could hold the lease, this one among them while it can. */
  listCandidates: () => readonly HolderCandidate[]
  /** Something may be at a server now that requests wait for. */
  onChange: () => void
}

type Task = 'RENEW' | 'BEAT' | 'PLAN' | 'DEMAND' | 'TAKE' | 'ASK_GRANTS'

/** Keeps exactly one instance ordering: takes the lease when it is this one's turn, and reaches the holder otherwise. */
export class ResidencyService extends ResidencyClient {
  private readonly demand: LocalDemand
  private heard: { instance: string, at: number } | undefined
  private wasHeld = false
  private stopping = false
  private renewing = false
  private hasOrdered = false
  /** Monotone time at which the store was last known to be away. */
  private outageAt = -Infinity
  private handover: (Handover & { from: string, at: number }) | undefined
  private readonly lastDone = new Map<Task, number>()

  constructor (private readonly opts: ResidencyServiceOptions) {
    super()
    this.demand = new LocalDemand(opts.clock)
  }

  /** Starts listening, renewing and planning; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const { network, holder } = this.opts
    this.opts.grants.start()
    network.handleCalls(NEED, (_, need) => holder.takeNeed(need))
    const subscriptions = [
      network.receive(DEMAND).subscribe(({ from, body }) => holder.noteDemand(from, body)),
      network.receive(HANDOVER).subscribe(({ from, body }) => this.noteHandover(from, body)),
      network.receive(HOLDER_BEAT).subscribe(({ from, body }) => this.noteBeat(from, body)),
      network.receive(WEIGHTS).subscribe(({ body }) => this.noteWeights(body)),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    void this.run(signal)
  }

  /** Takes a change that the own holder made, and tells the others. */
  spreadWeights (change: WeightsChange): void {
    this.opts.network.broadcast(WEIGHTS, change)
    this.noteWeights(change)
  }

  /** Orders no more, leaves the newest orders to the successor and gives the lease up. */
  async stop (): Promise<void> {
    await this.waitForOutageEnd()
    this.stopping = true
    if (!this.opts.lease.isKept) return
    await this.opts.clock.wait(ORDERS_END_MS)
    this.handOver()
    await this.opts.lease.release()
  }

  /** Whether this instance may order now. */
  get mayOrder (): boolean {
    return !this.stopping && (this.opts.lease.mayOrder || this.isHoldingOn)
  }

  /** The lease could not be renewed for an outage of the store, in which nobody else can take it. */
  private get isHoldingOn (): boolean {
    const { lease, grants } = this.opts
    return this.hasOrdered && lease.isKept && grants.isGranted
  }

  /** Nobody could take the lease while the store is away, so that a holder which is to stop goes on for a while. */
  private async waitForOutageEnd (): Promise<void> {
    const { clock, grants } = this.opts
    const until = clock.readTime() + this.readShare('STOP_LATEST')
    while (this.hasOrdered && grants.isLost && clock.readTime() < until) await clock.wait(this.readShare('ASK_GRANTS'))
  }

  /** The instance that orders, as far as this one knows; undefined while none is known to be well. */
  get orderer (): string | undefined {
    return this.mayOrder ? this.opts.instance : this.findHolder()
  }

  override async requestWeights (need: WeightsNeed): Promise<NeedAnswer> {
    if (this.mayOrder) return this.opts.holder.takeNeed(need)
    const holder = this.findHolder()
    if (holder === undefined) return { coming: false, reason: 'no holder is known to be well' }
    const answer = await this.opts.network.call(holder, NEED, need, CALL_MS)
    return answer.isOk() ? answer.value : { coming: false, reason: 'the holder did not answer' }
  }

  override noteDemand (asked: AskedWeights): void {
    this.demand.noteDemand(asked)
  }

  override noteInHand (asked: AskedWeights): () => void {
    return this.demand.noteInHand(asked)
  }

  override noteEnded (asked: AskedWeights, took: { heldMs: number, readTokens: number }): void {
    this.demand.noteEnded(asked, took)
  }

  private findHolder (): string | undefined {
    if (!this.heard || this.opts.clock.readTime() - this.heard.at > this.readShare('HOLDER_SILENT')) return undefined
    return this.heard.instance
  }

  private handOver (): void {
    const { holder, lease, turnMs } = this.opts
    const handover: Handover = { holder: this.opts.life, fence: lease.fence, ordered: holder.listOrdered(turnMs), loads: holder.listRunning() }
    this.opts.log.record(DecisionKinds.LEASE_HANDED_OVER, { fence: handover.fence, ordered: handover.ordered.map(([backend]) => backend) })
    this.opts.network.broadcast(HANDOVER, handover)
    this.noteHandover(this.opts.instance, handover)
  }

  private noteHandover (from: string, handover: Handover): void {
    this.handover = { ...handover, from, at: this.opts.clock.readTime() }
    if (this.heard?.instance === from) this.heard = undefined
  }

  private noteBeat (from: string, beat: HolderBeat): void {
    this.opts.lease.noteWritten(beat.recordVersion)
    if (this.heard?.instance !== from) this.opts.log.record(DecisionKinds.HOLDER_CHANGED, { holder: from, fence: beat.fence })
    this.heard = { instance: from, at: this.opts.clock.readTime() }
    if (this.handover && beat.fence > this.handover.fence) this.handover = undefined
  }

  private noteWeights (change: WeightsChange): void {
    const { model, adapter, present } = change
    const backend = this.opts.fleet.find(change.backend)
    if (adapter !== undefined) {
      backend?.noteAdapter(model, adapter, present)
    } else if (backend) {
      backend.noteModel(model, present)
      // The holder may die before it can take its word back; the server's own entry is right by then.
      this.opts.clock.setTimer(CHANGE_KEPT_MS, () => backend.forgetModelChange(model))
    }
    this.opts.onChange()
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isHolder) await this.act()
      else await this.tryTake()
      this.noteHolding()
      if (this.isDue('DEMAND')) this.sendDemand()
      await this.opts.clock.wait(this.readShare(this.isHolder ? 'HOLDER_TICK' : 'OTHER_TICK'), signal)
    }
  }

  /** This instance has the lease, or had it when the store went away. */
  private get isHolder (): boolean {
    const { lease, grants } = this.opts
    return lease.isHeld || (this.hasOrdered && lease.isKept && (grants.isLost || this.isAfterOutage))
  }

  private get isAfterOutage (): boolean {
    return this.opts.clock.readTime() - this.outageAt < this.readShare('AFTER_OUTAGE')
  }

  private async act (): Promise<void> {
    const { holder, grants } = this.opts
    if (this.stopping) return
    if (grants.isLost) this.outageAt = this.opts.clock.readTime()
    if (grants.isLost && this.isDue('ASK_GRANTS')) grants.ask()
    if (!this.renewing && this.isDue('RENEW')) void this.renew()
    if (!this.mayOrder) {
      if (this.hasOrdered && (!this.isAfterOutage || grants.isContradicted)) await this.giveUp()
      return
    }
    this.hasOrdered = true
    if (this.isDue('BEAT')) this.tellBeat()
    if (this.isDue('PLAN')) holder.plan()
  }

  private tellBeat (): void {
    const { lease, network } = this.opts
    network.broadcast(HOLDER_BEAT, { fence: lease.fence, recordVersion: lease.recordVersion })
  }

  /** The store takes no renewals from this instance; another may reach it, and need not wait for the lease to run out. */
  private async giveUp (): Promise<void> {
    const { grants } = this.opts
    const { isContradicted } = grants
    await this.opts.clock.wait(GIVE_UP_MS)
    // That the store is away for all may show only now; nobody could take the lease then.
    if (this.mayOrder || (grants.isLost && !isContradicted)) return
    this.hasOrdered = false
    this.handOver()
    this.opts.lease.abandon()
  }

  // Two renewals at once would conflict with each other.
  private async renew (): Promise<void> {
    const { lease, log } = this.opts
    const epoch = readEpoch(lease.recordVersion)
    this.renewing = true
    const renewed = await lease.renew(() => this.mayOrder)
    this.renewing = false
    if (renewed.isOk() && readEpoch(lease.recordVersion) > epoch) log.record(DecisionKinds.RECORD_RESTORED, { record: 'lease', key: this.opts.life })
    // A successor counts from the newest version that it was told of, so that it is told of each at once.
    if (renewed.isOk() && this.mayOrder) this.tellBeat()
  }

  /** Only the instance whose turn it is asks the store, and only while no holder is heard. */
  private async tryTake (): Promise<void> {
    const { lease, instance, grants } = this.opts
    if (this.stopping || grants.isPromised || this.findHolder() !== undefined) return
    const standsBack = this.isStandingBack(this.handover)
    const silent = this.heard?.instance
    const candidates = this.opts.listCandidates()
      .filter((candidate) => candidate.instance !== silent && (!standsBack || candidate.instance !== this.handover?.from))
    if (chooseHolder(candidates) !== instance) return
    if (this.isDue('TAKE') && await lease.tryTake(this.handover)) this.begin()
  }

  private isStandingBack (handover: { at: number } | undefined): boolean {
    return handover !== undefined && this.opts.clock.readTime() - handover.at < this.readShare('STAND_BACK')
  }

  private begin (): void {
    const { lease, holder, turnMs, clock } = this.opts
    const { handover } = this
    const now = clock.readTime()
    const holdOff: HoldOff = { notBefore: -Infinity, byBackend: new Map() }
    if (lease.takenFrom === LeaseOrigins.HANDED_OVER && handover) {
      holdOff.byBackend = new Map(handover.ordered.map(([backend, agoMs]) => [backend, handover.at - agoMs + turnMs]))
    } else if (lease.takenFrom === LeaseOrigins.RELEASED) {
      holdOff.notBefore = now + turnMs
    }
    holder.begin(holdOff, lease.takenFrom === LeaseOrigins.HANDED_OVER ? handover?.loads : [])
  }

  private noteHolding (): void {
    const { lease, log } = this.opts
    if (this.isHolder === this.wasHeld) return
    this.wasHeld = this.isHolder
    log.record(this.wasHeld ? DecisionKinds.LEASE_TAKEN : DecisionKinds.LEASE_LOST, { fence: lease.fence })
    if (this.wasHeld) this.hasOrdered = false
  }

  private sendDemand (): void {
    const report = this.demand.buildReport()
    if (!report) return
    const holder = this.mayOrder ? undefined : this.findHolder()
    if (this.isHolder) this.opts.holder.noteDemand(this.opts.instance, report)
    else if (holder === undefined || !this.opts.network.send(holder, DEMAND, report)) return
    this.demand.clear()
  }

  private readShare (name: keyof typeof Shares): number {
    return Shares[name] * this.opts.leaseMs
  }

  private isDue (task: Task): boolean {
    const now = this.opts.clock.readTime()
    if (now - (this.lastDone.get(task) ?? -Infinity) < this.readShare(task)) return false
    this.lastDone.set(task, now)
    return true
  }
}

/** Planning for many servers takes processor time, so that one of the most capable holds the lease. */
function chooseHolder (candidates: readonly HolderCandidate[]): string | undefined {
  const most = Math.max(...candidates.map((candidate) => candidate.capacity))
  return findOwner('residency', candidates.filter((candidate) => candidate.capacity === most).map((candidate) => candidate.instance))
}
