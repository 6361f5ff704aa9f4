import { LeaseOrigins, type ShardLease } from '@pulleystack/placement.ledger'
import { readEpoch } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import {
  DEMAND_REPORT,
  HANDOVER,
  HOLDER_HEARTBEAT,
  ORDER_ARRIVALS,
  UNANSWERED_LOADS,
  WEIGHTS_CHANGE,
  WEIGHTS_REQUEST,
  type Handover,
  type HolderHeartbeat,
  type WeightsChange,
} from './channels.js'
import { chooseHolder, type HolderCandidate } from './chooseHolder.js'
import type { WeightsAnswer, RequestedWeights, WeightsRequest } from './ResidencyClient.js'
import { ResidencyClient } from './ResidencyClient.js'
import { LeaseSchedule } from './LeaseSchedule.js'
import { LocalDemand } from './LocalDemand.js'
import type { OutageGrants } from './OutageGrants.js'
import type { ResidencyHolder } from './ResidencyHolder.js'
import { parseArrivals } from './OrderArrivals.js'
import type { OrderPermit } from './ServerOrders.js'
import { shareOrderArrivals } from './shareOrderArrivals.js'
import type { UnansweredReport } from './UnansweredLoads.js'

const CALL_TIMEOUT_MS = 500
/** Interval of the demand reports where shifts have to be detected at once. */
const URGENT_DEMAND_MS = 200
/** Lengthens that interval by the number of instances, so that the holder gets at most 500 reports per second. */
const URGENT_DEMAND_PER_INSTANCE_MS = 2
/** Interval at which an instance looks whether its configuration requires such reports. */
const URGENCY_CHECK_MS = 1_000
/** How long an announced model change overrides the server's entry, which is updated by heartbeats. */
const CHANGE_OVERRIDE_MS = 15_000
/** Stands for a holder whose hand-over this instance hasn't received. */
const UNKNOWN_INSTANCE = ''
/** Time for orders in flight to be answered or to time out after the last one was sent. */
const ORDERS_DRAIN_MS = 400
/** Time for all instances to detect an outage after a holder failed to renew; orders in flight have ended by then too. */
const OUTAGE_DETECTION_MS = 700

export interface ResidencyServiceOptions {
  clock: Clock
  network: PeerNetwork
  fleet: BackendFleet
  log: DecisionLog
  instance: string
  lease: ShardLease
  leaseMs: number
  /** The holder's name in the lease. */
  holderName: string
  /** Minimum milliseconds between the orders of two lease holders to one server. */
  minHandoverGapMs: number
  holder: ResidencyHolder
  grants: OutageGrants
  /** Live instances that can hold the lease, including this one unless it is leaving. */
  listCandidates: () => readonly HolderCandidate[]
  /** Whether shifts of demand have to be detected at once; never if omitted. */
  isDemandUrgent?: () => boolean
  /** Called when a waiting request may have become servable. */
  onChange: () => void
}

/** Acquires the lease on model placement and plans while holding it; otherwise forwards requests and demand to the holder. */
export class ResidencyService extends ResidencyClient {
  private readonly demand: LocalDemand
  private readonly schedule: LeaseSchedule
  private lastHeartbeat: { instance: string, at: number } | undefined
  private wasHolder = false
  /** The last holder that this instance heard of, before it acquired the lease. */
  private formerHolder: string | undefined
  /** Highest fence of another holder that this instance has heard of. */
  private heardFence = 0
  private stopping = false
  /** Whether this instance hands over because it reaches no server. */
  private isYielding = false
  private renewing = false
  private hasOrdered = false
  /** Monotonic time at which the store was last seen to be lost. */
  private lastOutageAt = -Infinity
  private handover: (Handover & { from: string, at: number }) | undefined

  constructor (private readonly opts: ResidencyServiceOptions) {
    super()
    this.demand = new LocalDemand(opts.clock)
    this.schedule = new LeaseSchedule(opts.clock, opts.leaseMs)
  }

  /** Starts to listen to the other instances, renew the lease and plan, until the signal aborts. */
  start (signal: AbortSignal): void {
    const { clock, network, holder } = this.opts
    this.opts.grants.start()
    network.handleCalls(WEIGHTS_REQUEST, (_, request) => holder.handleRequest(request))
    const subscriptions = [
      network.receive(DEMAND_REPORT).subscribe(({ from, body }) => holder.recordDemand(from, body)),
      network.receive(HANDOVER).subscribe(({ from, body }) => this.handleHandover(from, body)),
      network.receive(HOLDER_HEARTBEAT).subscribe(({ from, body }) => this.handleHeartbeat(from, body)),
      network.receive(UNANSWERED_LOADS).subscribe(({ body }) => holder.addUnanswered(body)),
      network.receive(WEIGHTS_CHANGE).subscribe(({ body }) => this.applyWeightsChange(body)),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    shareOrderArrivals({ network, holder }, signal)
    keepRunning({ task: 'placement', clock, signal, run: () => this.run(signal) })
    keepRunning({ task: 'demand reports', clock, signal, run: () => this.keepReportingDemand(signal) })
  }

  /** Applies a change made by this instance's holder and announces it to the other instances. */
  announceWeights (change: WeightsChange): void {
    this.opts.network.broadcast(WEIGHTS_CHANGE, change)
    this.applyWeightsChange(change)
  }

  /** Tells the other instances of load orders that got no answer: the next holder has to count them. */
  announceUnanswered (reports: UnansweredReport[]): void {
    this.opts.network.broadcast(UNANSWERED_LOADS, reports)
  }

  /** Tells the other instances that an order to a server is about to be sent, or has arrived: whoever holds the lease next leaves it alone until then. */
  announceArrival (server: string): void {
    this.opts.network.broadcast(ORDER_ARRIVALS, [this.opts.holder.describeArrival(server)])
  }

  /** Stops sending orders, hands over the recent ones to the successor and releases the lease. */
  async stop (): Promise<void> {
    await this.waitForOutageEnd()
    this.stopping = true
    if (!this.opts.lease.hasRecord) return
    await this.releaseLease()
  }

  /** Hands over once the orders in flight have ended. */
  private async releaseLease (): Promise<void> {
    await this.opts.clock.wait(ORDERS_DRAIN_MS)
    this.handOver()
    await this.opts.lease.release()
  }

  /** Whether this instance may send orders now. */
  get maySendOrders (): boolean {
    return !this.stopping && !this.isYielding && (this.opts.lease.maySendOrders || this.isGrantedInOutage)
  }

  /** Permit for an order that is sent now; undefined while none may be sent. */
  readPermit (): OrderPermit | undefined {
    const { instance, lease } = this.opts
    return this.maySendOrders ? { holder: instance, fence: lease.fence, origin: lease.origin, leftMs: lease.orderRightMs } : undefined
  }

  /** Whether grants let this instance continue although the lease can't be renewed during an outage of the store. */
  private get isGrantedInOutage (): boolean {
    const { lease, grants } = this.opts
    return this.hasOrdered && lease.hasRecord && grants.isGrantedByAll
  }

  /** Lets a holder that is stopping continue for a while during an outage, since no instance can acquire the lease then. */
  private async waitForOutageEnd (): Promise<void> {
    const { clock, grants } = this.opts
    const until = clock.readTime() + this.schedule.readDuration('STOP_LATEST')
    while (this.hasOrdered && grants.isLost && clock.readTime() < until) await clock.wait(this.schedule.readDuration('ASK_GRANTS'))
  }

  /** The instance that sends orders, as far as this one knows; undefined while no live holder is known. */
  get activeHolder (): string | undefined {
    return this.maySendOrders ? this.opts.instance : this.findHolder()
  }

  override async requestWeights (request: WeightsRequest): Promise<WeightsAnswer> {
    if (this.maySendOrders) return this.opts.holder.handleRequest(request)
    const holder = this.findHolder()
    if (holder === undefined) return { coming: false, reason: 'no live lease holder is known', isUndecided: true }
    const answer = await this.opts.network.call(holder, WEIGHTS_REQUEST, request, CALL_TIMEOUT_MS)
    return answer.isOk() ? answer.value : { coming: false, reason: 'the lease holder did not answer', isUndecided: true }
  }

  override recordRequest (weights: RequestedWeights): void {
    this.demand.recordRequest(weights)
  }

  override recordInFlight (weights: RequestedWeights): () => void {
    return this.demand.recordInFlight(weights)
  }

  override recordEnded (weights: RequestedWeights, usage: { heldMs: number, readTokens: number }): void {
    this.demand.recordEnded(weights, usage)
  }

  private findHolder (): string | undefined {
    if (!this.lastHeartbeat || this.opts.clock.readTime() - this.lastHeartbeat.at > this.schedule.readDuration('HOLDER_SILENT')) return undefined
    return this.lastHeartbeat.instance
  }

  private handOver (): void {
    const { holder, lease, minHandoverGapMs } = this.opts
    const handover: Handover = {
      holder: this.opts.holderName,
      fence: lease.fence,
      ordered: holder.listOrdered(minHandoverGapMs),
      loads: holder.listRunning(),
      unanswered: holder.listUnanswered(),
    }
    this.opts.log.record(DecisionKinds.LEASE_HANDED_OVER, { fence: handover.fence, ordered: [...new Set(handover.ordered.map(([backend]) => backend))] })
    this.opts.network.broadcast(HANDOVER, handover)
    this.handleHandover(this.opts.instance, handover)
  }

  private handleHandover (from: string, handover: Handover): void {
    this.handover = { ...handover, from, at: this.opts.clock.readTime() }
    if (from !== this.opts.instance) this.opts.holder.recordTold(from, parseArrivals(handover.ordered, from))
    // However the next holder acquires the lease, it may be this instance.
    this.opts.holder.addUnanswered(handover.unanswered ?? [])
    if (this.lastHeartbeat?.instance === from) this.lastHeartbeat = undefined
  }

  private handleHeartbeat (from: string, heartbeat: HolderHeartbeat): void {
    this.opts.lease.recordHolderWrite(heartbeat.recordVersion)
    this.recordFence(heartbeat.fence)
    this.opts.holder.recordTold(from, parseArrivals(heartbeat.inTransit, from))
    if (this.lastHeartbeat?.instance !== from) this.opts.log.record(DecisionKinds.HOLDER_CHANGED, { holder: from, fence: heartbeat.fence })
    this.lastHeartbeat = { instance: from, at: this.opts.clock.readTime() }
    if (this.handover && heartbeat.fence > this.handover.fence) this.handover = undefined
  }

  /** Ends a lease that another instance has acquired since, as during a suspension of this one. */
  private recordFence (fence: number): void {
    const { lease } = this.opts
    this.heardFence = Math.max(this.heardFence, fence)
    if (!lease.hasRecord || lease.fence >= fence) return
    this.hasOrdered = false
    lease.abandon()
  }

  /** Highest fence of a holder that this instance knows of. */
  get newestFence (): number {
    return Math.max(this.heardFence, this.opts.lease.fence)
  }

  private applyWeightsChange (change: WeightsChange): void {
    const { model, adapter, present } = change
    const backend = this.opts.fleet.find(change.backend)
    if (adapter !== undefined) {
      backend?.recordAdapter(model, adapter, present)
    } else if (backend) {
      backend.recordModel(model, present)
      // The override expires in case the holder fails before it can revert the change; the server's entry is up to date by then.
      this.opts.clock.setTimer(CHANGE_OVERRIDE_MS, () => backend.discardModelOverride(model))
    }
    this.opts.onChange()
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.isHolder) await this.runHolderTasks()
      else await this.tryAcquire()
      this.reportHolderChange()
      if (this.schedule.takeDue('DEMAND')) this.sendDemand()
      await this.opts.clock.wait(this.schedule.readDuration(this.isHolder ? 'HOLDER_TICK' : 'OTHER_TICK'), signal)
    }
  }

  /** Reports demand more often than the lease tasks do while shifts have to be detected at once. */
  private async keepReportingDemand (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const isUrgent = this.opts.isDemandUrgent?.() ?? false
      if (isUrgent) this.sendDemand()
      const urgentMs = Math.max(URGENT_DEMAND_MS, this.opts.listCandidates().length * URGENT_DEMAND_PER_INSTANCE_MS)
      await this.opts.clock.wait(isUrgent ? urgentMs : URGENCY_CHECK_MS, signal)
    }
  }

  /** Whether this instance holds the lease, or held it when the store was lost. */
  private get isHolder (): boolean {
    const { lease, grants } = this.opts
    return lease.isHeld || (this.hasOrdered && lease.hasRecord && (grants.isLost || this.isAfterOutage))
  }

  private get isAfterOutage (): boolean {
    return this.opts.clock.readTime() - this.lastOutageAt < this.schedule.readDuration('AFTER_OUTAGE')
  }

  private async runHolderTasks (): Promise<void> {
    const { holder, grants } = this.opts
    if (this.stopping || this.isYielding) return
    if (this.mustYield) {
      await this.endLease()
      return
    }
    if (grants.isLost) this.lastOutageAt = this.opts.clock.readTime()
    if (grants.isLost && this.schedule.takeDue('ASK_GRANTS')) grants.requestGrants()
    if (!this.renewing && this.schedule.takeDue('RENEW')) void this.renew()
    if (!this.maySendOrders) {
      if (this.hasOrdered && (!this.isAfterOutage || grants.isContradicted)) await this.dropLease()
      return
    }
    this.hasOrdered = true
    if (this.schedule.takeDue('HEARTBEAT')) this.sendHeartbeat()
    if (this.schedule.takeDue('PLAN')) holder.plan()
  }

  /** Whether this instance has reached no server for a while and another one does. */
  private get mustYield (): boolean {
    const { fleet, clock, instance } = this.opts
    if (fleet.contacts.readCutOffMs(clock.readTime()) < this.schedule.readDuration('CUT_OFF')) return false
    return this.listConnected().some((candidate) => candidate.instance !== instance)
  }

  /** Hands over to an instance that reaches the servers. */
  private async endLease (): Promise<void> {
    this.isYielding = true
    await this.releaseLease()
    this.hasOrdered = false
    this.isYielding = false
  }

  /** Candidates that reach servers. */
  private listConnected (): HolderCandidate[] {
    const { contacts } = this.opts.fleet
    return this.opts.listCandidates().filter(({ instance }) => instance === this.opts.instance ? !contacts.isCutOff : !contacts.isPeerCutOff(instance))
  }

  private sendHeartbeat (): void {
    const { lease, network, holder } = this.opts
    network.broadcast(HOLDER_HEARTBEAT, { fence: lease.fence, recordVersion: lease.recordVersion, inTransit: holder.listInTransit() })
  }

  /** Hands over when this instance can't renew, as another may reach the store and then needn't wait for the lease to expire. */
  private async dropLease (): Promise<void> {
    const { grants } = this.opts
    const { isContradicted } = grants
    await this.opts.clock.wait(OUTAGE_DETECTION_MS)
    // The outage may be detected only now; while the store is lost to all, no instance can acquire the lease.
    if (this.maySendOrders || (grants.isLost && !isContradicted)) return
    this.hasOrdered = false
    this.handOver()
    this.opts.lease.abandon()
  }

  // Concurrent renewals would conflict with each other.
  private async renew (): Promise<void> {
    const { lease, log } = this.opts
    const epoch = readEpoch(lease.recordVersion)
    this.renewing = true
    const renewed = await lease.renew(() => this.maySendOrders)
    this.renewing = false
    if (renewed.isOk() && readEpoch(lease.recordVersion) > epoch) log.record(DecisionKinds.RECORD_RESTORED, { record: 'lease', key: this.opts.holderName })
    // A successor measures the lease time from the latest announced version, so each one is announced at once.
    if (renewed.isOk() && this.maySendOrders) this.sendHeartbeat()
  }

  /** Tries to acquire the lease when no live holder is known and this instance is the preferred candidate. */
  private async tryAcquire (): Promise<void> {
    const { lease, instance, grants } = this.opts
    if (this.stopping || grants.isPromised || this.findHolder() !== undefined) return
    const isDeferring = this.hasRecentHandover(this.handover)
    const silentHolder = this.lastHeartbeat?.instance
    const candidates = this.listConnected()
      .filter((candidate) => candidate.instance !== silentHolder && (!isDeferring || candidate.instance !== this.handover?.from))
    if (chooseHolder(candidates) !== instance) return
    if (this.schedule.takeDue('ACQUIRE') && await lease.tryAcquire(this.handover)) this.beginOrdering()
  }

  private hasRecentHandover (handover: { at: number } | undefined): boolean {
    return handover !== undefined && this.opts.clock.readTime() - handover.at < this.schedule.readDuration('STAND_BACK')
  }

  private beginOrdering (): void {
    const { lease, holder, minHandoverGapMs, clock, fleet } = this.opts
    const { handover } = this
    const isHandedOver = lease.origin === LeaseOrigins.HANDED_OVER
    const isUntold = lease.origin === LeaseOrigins.RELEASED
    this.formerHolder = isHandedOver ? handover?.from : this.lastHeartbeat?.instance
    if (isUntold) holder.recordTold(UNKNOWN_INSTANCE, fleet.listAll().map(({ id }) => [id, 0, UNKNOWN_INSTANCE]))
    holder.begin(isUntold ? clock.readTime() + minHandoverGapMs : -Infinity, isHandedOver ? handover?.loads : [])
  }

  private reportHolderChange (): void {
    const { lease, log, holder } = this.opts
    if (this.isHolder === this.wasHolder) return
    this.wasHolder = this.isHolder
    const { fence, origin } = lease
    if (this.wasHolder) log.record(DecisionKinds.LEASE_TAKEN, { fence, origin, former: this.formerHolder, heldOff: holder.listHeldOff() })
    else log.record(DecisionKinds.LEASE_LOST, { fence })
    if (this.wasHolder) this.hasOrdered = false
  }

  private sendDemand (): void {
    const report = this.demand.buildReport()
    if (!report) return
    const holder = this.maySendOrders ? undefined : this.findHolder()
    if (this.isHolder) this.opts.holder.recordDemand(this.opts.instance, report)
    else if (holder === undefined || !this.opts.network.send(holder, DEMAND_REPORT, report)) return
    this.demand.clear()
  }
}
