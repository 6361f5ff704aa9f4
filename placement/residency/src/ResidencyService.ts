import { LeaseOrigins, type ShardLease } from '@pulleystack/placement.ledger'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { nameWeights, type BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { DEMAND, HANDOVER, HOLDER_BEAT, NEED, WEIGHTS, type Handover, type WeightsChange } from './channels.js'
import { estimateWork, type DemandCount } from './DemandTracker.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'
import { ResidencyClient } from './ResidencyClient.js'
import type { ResidencyHolder } from './ResidencyHolder.js'
import type { HoldOff } from './ServerLoads.js'

/** Times as shares of the lease's life. */
const Shares = {
  HOLDER_TICK: 1 / 15,
  OTHER_TICK: 1 / 6,
  RENEW: 0.27,
  BEAT: 0.2,
  PLAN: 1 / 3,
  DEMAND: 0.15,
  /** A holder that was not heard for this long is not known to be well. */
  HOLDER_SILENT: 0.65,
  TAKE: 1 / 6,
  /** An instance that handed over leaves the lease to others for this long. */
  STAND_BACK: 2.5,
} as const
const CALL_MS = 500
const CHANGE_KEPT_MS = 15_000
/** Orders that were under way when the right to order ended are answered or given up by then. */
const ORDERS_END_MS = 400

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
  /** Live instances that could hold the lease, this one among them while it can. */
  listCandidates: () => readonly HolderCandidate[]
  /** Something may be at a server now that requests wait for. */
  onChange: () => void
}

type Task = 'RENEW' | 'BEAT' | 'PLAN' | 'DEMAND' | 'TAKE'

/** Keeps exactly one instance ordering: takes the lease when it is this one's turn, and reaches the holder otherwise. */
export class ResidencyService extends ResidencyClient {
  private readonly counts = new Map<string, DemandCount>()
  private heard: { instance: string, at: number } | undefined
  private wasHeld = false
  private stopping = false
  private renewing = false
  private hasOrdered = false
  private handover: (Handover & { from: string, at: number }) | undefined
  private readonly lastDone: Record<Task, number> = { RENEW: -Infinity, BEAT: -Infinity, PLAN: -Infinity, DEMAND: -Infinity, TAKE: -Infinity }

  constructor (private readonly opts: ResidencyServiceOptions) {
    super()
  }

  /** Starts listening, renewing and planning; goes on until the signal ends. */
  start (signal: AbortSignal): void {
    const { network, holder } = this.opts
    network.handleCalls(NEED, (_, need) => holder.takeNeed(need))
    const subscriptions = [
      network.receive(DEMAND).subscribe(({ body }) => holder.noteDemand(body.counts)),
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
    this.stopping = true
    if (!this.opts.lease.isHeld) return
    await this.opts.clock.wait(ORDERS_END_MS)
    this.handOver()
    await this.opts.lease.release()
  }

  /** Whether this instance may order now. */
  get mayOrder (): boolean {
    return !this.stopping && this.opts.lease.mayOrder
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

  override noteDemand (demand: { service: string, model: string, adapter: string | undefined, promptTokens: number, outputTokens: number }): void {
    const { service, model, adapter, promptTokens, outputTokens } = demand
    const key = `${service}|${nameWeights(model, adapter)}`
    const count = this.counts.get(key) ?? { service, model, adapter, requests: 0, workMs: 0 }
    count.requests++
    count.workMs += estimateWork(promptTokens, outputTokens)
    this.counts.set(key, count)
  }

  private findHolder (): string | undefined {
    if (!this.heard || this.opts.clock.readTime() - this.heard.at > this.readShare('HOLDER_SILENT')) return undefined
    return this.heard.instance
  }

  private handOver (): void {
    const handover = { holder: this.opts.life, fence: this.opts.lease.fence, ordered: this.opts.holder.listOrdered(this.opts.turnMs) }
    this.opts.log.record(DecisionKinds.LEASE_HANDED_OVER, { fence: handover.fence, ordered: handover.ordered.map(([backend]) => backend) })
    this.opts.network.broadcast(HANDOVER, handover)
    this.noteHandover(this.opts.instance, handover)
  }

  private noteHandover (from: string, handover: Handover): void {
    this.handover = { ...handover, from, at: this.opts.clock.readTime() }
    if (this.heard?.instance === from) this.heard = undefined
  }

  private noteBeat (from: string, beat: { fence: number }): void {
    if (this.heard?.instance !== from) this.opts.log.record(DecisionKinds.HOLDER_CHANGED, { holder: from, fence: beat.fence })
    this.heard = { instance: from, at: this.opts.clock.readTime() }
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
      if (this.opts.lease.isHeld) await this.act()
      else await this.tryTake()
      this.noteHolding()
      if (this.isDue('DEMAND')) this.sendDemand()
      await this.opts.clock.wait(this.readShare(this.opts.lease.isHeld ? 'HOLDER_TICK' : 'OTHER_TICK'), signal)
    }
  }

  private async act (): Promise<void> {
    const { lease, holder, network } = this.opts
    if (this.stopping) return
    if (!this.renewing && this.isDue('RENEW')) void this.renew()
    if (!this.mayOrder) {
      if (this.hasOrdered) await this.giveUp()
      return
    }
    this.hasOrdered = true
    if (this.isDue('BEAT')) network.broadcast(HOLDER_BEAT, { fence: lease.fence })
    holder.serveNeeds()
    if (this.isDue('PLAN')) holder.plan()
  }

  /** The store takes no renewals from this instance; another may reach it, and need not wait for the lease to run out. */
  private async giveUp (): Promise<void> {
    this.hasOrdered = false
    await this.opts.clock.wait(ORDERS_END_MS)
    if (this.mayOrder) return
    this.handOver()
    this.opts.lease.abandon()
  }

  // Two renewals at once would conflict with each other.
  private async renew (): Promise<void> {
    this.renewing = true
    await this.opts.lease.renew()
    this.renewing = false
  }

  /** Only the instance whose turn it is asks the store, and only while no holder is heard. */
  private async tryTake (): Promise<void> {
    const { lease, instance } = this.opts
    if (this.stopping || this.findHolder() !== undefined) return
    const standsBack = this.isStandingBack(this.handover)
    const candidates = this.opts.listCandidates().filter((candidate) => !standsBack || candidate.instance !== this.handover?.from)
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
    holder.begin(holdOff)
  }

  private noteHolding (): void {
    const { lease, log } = this.opts
    if (lease.isHeld === this.wasHeld) return
    this.wasHeld = lease.isHeld
    log.record(this.wasHeld ? DecisionKinds.LEASE_TAKEN : DecisionKinds.LEASE_LOST, { fence: lease.fence })
    if (this.wasHeld) this.hasOrdered = false
  }

  private sendDemand (): void {
    if (this.counts.size === 0) return
    const counts = [...this.counts.values()]
    const holder = this.mayOrder ? undefined : this.findHolder()
    if (this.opts.lease.isHeld) this.opts.holder.noteDemand(counts)
    else if (holder === undefined || !this.opts.network.send(holder, DEMAND, { counts })) return
    this.counts.clear()
  }

  private readShare (name: keyof typeof Shares): number {
    return Shares[name] * this.opts.leaseMs
  }

  private isDue (task: Task): boolean {
    const now = this.opts.clock.readTime()
    if (now - this.lastDone[task] < this.readShare(task)) return false
    this.lastDone[task] = now
    return true
  }
}

/** Planning for many servers takes processor time, so that one of the most capable holds the lease. */
function chooseHolder (candidates: readonly HolderCandidate[]): string | undefined {
  const most = Math.max(...candidates.map((candidate) => candidate.capacity))
  return findOwner('residency', candidates.filter((candidate) => candidate.capacity === most).map((candidate) => candidate.instance))
}
