import type { ShardLease } from '@pulleystack/placement.ledger'
import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { nameWeights, type BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { ADAPTERS, DEMAND, HOLDER_BEAT, NEED } from './channels.js'
import { estimateWork, type DemandCount } from './DemandTracker.js'
import type { NeedAnswer, WeightsNeed } from './ResidencyClient.js'
import { ResidencyClient } from './ResidencyClient.js'
import type { ResidencyHolder } from './ResidencyHolder.js'

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
  QUIET_BEFORE_RELEASE: 1,
} as const
const CALL_MS = 500

export interface ResidencyServiceOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  log: DecisionLog
  instance: string
  lease: ShardLease
  leaseMs: number
  holder: ResidencyHolder
  /** Live instances that could hold the lease, this one among them while it can. */
  listCandidates: () => readonly string[]
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
      network.receive(HOLDER_BEAT).subscribe(({ from, body }) => this.noteBeat(from, body)),
      network.receive(ADAPTERS).subscribe(({ body }) => this.noteAdapter(body)),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    void this.run(signal)
  }

  /** Takes a change that the own holder made, and tells the others. */
  spreadAdapter (change: { backend: string, model: string, adapter: string, present: boolean }): void {
    this.opts.network.broadcast(ADAPTERS, change)
    this.noteAdapter(change)
  }

  /** Orders no more; gives the lease up once every order has long arrived. */
  async stop (): Promise<void> {
    this.stopping = true
    if (!this.opts.lease.isHeld) return
    this.opts.network.broadcast(HOLDER_BEAT, { fence: this.opts.lease.fence, stopping: true })
    await this.opts.clock.wait(this.readShare('QUIET_BEFORE_RELEASE'))
    await this.opts.lease.release()
  }

  /** Whether this instance may order now. */
  get mayOrder (): boolean {
    return !this.stopping && this.opts.lease.mayOrder
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

  private noteBeat (from: string, beat: { fence: number, stopping: boolean }): void {
    if (beat.stopping) {
      this.heard = undefined
      return
    }
    if (this.heard?.instance !== from) this.opts.log.record(DecisionKinds.HOLDER_CHANGED, { holder: from, fence: beat.fence })
    this.heard = { instance: from, at: this.opts.clock.readTime() }
  }

  private noteAdapter (change: { backend: string, model: string, adapter: string, present: boolean }): void {
    this.opts.fleet.find(change.backend)?.noteAdapter(change.model, change.adapter, change.present)
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
    if (!this.mayOrder) return
    if (this.isDue('BEAT')) network.broadcast(HOLDER_BEAT, { fence: lease.fence, stopping: false })
    holder.serveNeeds()
    if (this.isDue('PLAN')) holder.plan()
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
    if (findOwner('residency', this.opts.listCandidates()) !== instance) return
    if (this.isDue('TAKE')) await lease.tryTake()
  }

  private noteHolding (): void {
    const { lease, log } = this.opts
    if (lease.isHeld === this.wasHeld) return
    this.wasHeld = lease.isHeld
    log.record(this.wasHeld ? DecisionKinds.LEASE_TAKEN : DecisionKinds.LEASE_LOST, { fence: lease.fence })
    if (this.wasHeld) this.opts.holder.begin()
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
