import type { ModelServing } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { Clock } from '@pulleystack/core.clock'
import { keepRunning } from '@pulleystack/core.tasks'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import { formatIncarnation, type BackendFleet, type ServerIncarnation } from '@pulleystack/routing.fleet'
import type { LimitsMembership } from '@pulleystack/routing.limits'
import type { PaceEstimate, PaceSample } from '@pulleystack/routing.pace'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { Observable } from 'rxjs'
import type { InstanceReport } from './InstanceReport.js'
import { LedgerTable } from './LedgerTable.js'
import { OwnerCache } from './OwnerCache.js'
import { OwnReservations, type OwnServer } from './OwnReservations.js'
import { DeniedInstances } from './DeniedInstances.js'
import { READ, RELEASE, RESERVE, ROOM, ROOM_UNUSED, packReport, unpackReport, type ServerUpdate, type ReportMessage, type ReserveMessage } from './ReservationMessages.js'
import { ReservationCounts } from './ReservationCounts.js'
import type { ReservationAnswer, ReservationRequest } from './ReservationRequest.js'

/** A request waits no longer than this for the owner's answer. */
const OWNER_TIMEOUT_MS = 60
/** An owner that did not answer is not asked for this time, except about brittle servers, so that few requests wait in vain. */
const OWNER_RETRY_MS = 1_000
const EXPIRY_INTERVAL_MS = 1_000

export interface ReservationsOptions {
  clock: Clock
  network: PeerNetwork
  membership: Pick<LimitsMembership, 'instance' | 'isServing' | 'listServing'> & { changes: Observable<void> }
  fleet: BackendFleet
  log: DecisionLog
  readPace: (server: ServerIncarnation, now: number) => PaceEstimate
  /** Called at the owner of a server's ledger. */
  recordPace: (server: ServerIncarnation, sample: PaceSample, now: number) => void
  findServing: (service: string) => ModelServing | undefined
  policy: Pick<Policy, 'teamShares'>
  /** Called when a slot of a brittle server was released after this instance was denied one; returns whether a request asks for it. */
  onRoom?: (server: ServerIncarnation) => boolean
}

/**
 * Reserves room at model servers. One instance owns the ledger of each server, chosen by rendezvous hashing over the serving instances, and decides for
 * all of them. Instances that disagree on the owner for a while only lose accuracy.
 */
export class Reservations {
  readonly counts = new ReservationCounts()
  private readonly own: OwnReservations
  private readonly ledgers: LedgerTable
  private readonly owners = new OwnerCache()
  private readonly denied = new DeniedInstances()
  /** Monotonic times until which silent owners are not asked, by instance. */
  private readonly silentUntil = new Map<string, number>()

  constructor (private readonly opts: ReservationsOptions) {
    this.own = new OwnReservations(opts.clock.readWallTime())
    const isOwner = (server: ServerIncarnation): boolean => this.findOwner(server) === opts.membership.instance
    this.ledgers = new LedgerTable({ ...opts, hasTeamShares: opts.policy.teamShares, isOwner })
  }

  /** Starts to answer peers; stops when the signal aborts. */
  start (signal: AbortSignal): void {
    const { network, fleet, membership, clock } = this.opts
    network.handleCalls(RESERVE, (from, message) => this.reserveLocally(from, message) ?? null)
    const subscriptions = [
      network.receive(READ).subscribe(({ from, body }) => this.applyUpdate(from, body)),
      network.receive(RELEASE).subscribe(({ from, body }) => this.applyUpdate(from, body)),
      network.receive(ROOM).subscribe(({ from, body }) => this.takeRoom(from, body.server)),
      network.receive(ROOM_UNUSED).subscribe(({ body }) => this.announceRoom(body.server, 1)),
      network.peerEvents.subscribe((event) => {
        if (event.kind !== 'heard') this.ledgers.removeInstance(event.instance)
      }),
      membership.changes.subscribe(() => this.ledgers.updateOwners(clock.readTime())),
      fleet.changes.subscribe(({ kind, backend }) => {
        if (kind !== 'removed') return
        this.ledgers.remove(backend.entry)
        this.denied.remove(backend.entry)
      }),
    ]
    signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
    keepRunning({ task: 'expiry of reservations', clock: this.opts.clock, signal, run: () => this.runExpiryLoop(signal) })
  }

  /**
   * Asks the owner of the server's ledger for room. Undefined if no owner answers in time: the caller then decides by its local view. Unless denied,
   * the caller must call `release` when the request has ended or was not sent.
   */
  async reserve (request: ReservationRequest): Promise<ReservationAnswer | undefined> {
    const ownServer = this.own.add(request, this.opts.clock.readTime())
    const asking = this.askOwner(ownServer, request.id)
    const asked = ownServer.owner
    const answer = await asking
    const reservation = ownServer.live.get(request.id)
    if (reservation) reservation.isPending = false
    if (answer && !answer.granted) {
      ownServer.live.delete(request.id)
      this.recordDenial(request, answer)
    }
    if (reservation && ownServer.owner !== asked) this.report(ownServer)
    this.counts.add(answer)
    return answer
  }

  /** Whether an instance keeps the server's ledger. */
  hasOwner (server: ServerIncarnation): boolean {
    return this.findOwner(server) !== undefined
  }

  /** Records that the server has processed the prompt of a request, and passes what that showed about the server's pace to the owner. */
  recordRead (server: ServerIncarnation, id: string, sample?: PaceSample): void {
    const ownServer = this.own.find(server)
    const reservation = ownServer?.live.get(id)
    if (!ownServer || !reservation || reservation.readTokens === 0) return
    reservation.readTokens = 0
    this.report(ownServer, sample)
  }

  /** Ends a reservation, whether or not it was answered, and passes what the stream showed about the server's pace to the owner. */
  release (server: ServerIncarnation, id: string, sample?: PaceSample): void {
    const ownServer = this.own.find(server)
    if (ownServer?.live.delete(id)) {
      this.sendToOwner(ownServer, (owner, report) => this.opts.network.send(owner, RELEASE, { server: ownServer.server, report, sample }), sample)
    } else if (sample) this.sendSample(server, sample)
  }

  /** Numbers of ledgers kept here and of this instance's live reservations. */
  countState (): { ledgers: number, live: number } {
    return { ledgers: this.ledgers.size, live: this.own.countLive() }
  }

  private async askOwner (ownServer: OwnServer, id: string): Promise<ReservationAnswer | undefined> {
    const { clock, network, membership, fleet, log } = this.opts
    const owner = this.updateOwner(ownServer)
    if (owner === undefined) return undefined
    // No request is sent to a brittle server without the owner's answer.
    const isBrittle = fleet.brittle.hasCare(ownServer.service, clock.readTime())
    if (!isBrittle && this.isSilent(owner)) return undefined
    const reservation = ownServer.live.get(id)
    if (reservation) reservation.askedOwner = owner
    const message = { id, report: this.buildMessage(ownServer) }
    if (owner === membership.instance) return this.reserveLocally(owner, message)
    const answer = await network.call(owner, RESERVE, message, OWNER_TIMEOUT_MS)
    if (answer.isOk()) return answer.value ?? undefined
    if (!this.isSilent(owner)) log.record(DecisionKinds.RESERVATION_OWNER_SILENT, { owner, backend: ownServer.server.id })
    this.silentUntil.set(owner, clock.readTime() + OWNER_RETRY_MS)
    return undefined
  }

  private isSilent (owner: string): boolean {
    return (this.silentUntil.get(owner) ?? -Infinity) > this.opts.clock.readTime()
  }

  /** Returns the current owner of a server's ledger, and tells a former one that this instance no longer reports to it. */
  private updateOwner (ownServer: OwnServer): string | undefined {
    const owner = this.findOwner(ownServer.server)
    const former = ownServer.owner
    ownServer.owner = owner
    if (former === undefined || former === owner) return owner
    const report = this.packReport(ownServer, this.own.buildLeavingReport())
    if (former === this.opts.membership.instance) this.applyMessage(former, report)
    else this.opts.network.send(former, RELEASE, { server: ownServer.server, report })
    return owner
  }

  private findOwner (server: ServerIncarnation): string | undefined {
    const { membership } = this.opts
    const serving = membership.listServing()
    return this.owners.find(formatIncarnation(server), membership.isServing() ? [membership.instance, ...serving] : serving)
  }

  /** The owner's last report may list as pending what a former owner has decided since, or a prompt as unread. */
  private report (ownServer: OwnServer, sample?: PaceSample): void {
    this.sendToOwner(ownServer, (owner, report) => this.opts.network.send(owner, READ, { server: ownServer.server, report, sample }), sample)
  }

  private sendToOwner (ownServer: OwnServer, send: (owner: string, report: ReportMessage) => void, sample?: PaceSample): void {
    const owner = this.updateOwner(ownServer)
    if (owner === undefined) return
    const report = this.buildMessage(ownServer)
    if (owner === this.opts.membership.instance) this.applyUpdate(owner, { server: ownServer.server, report, sample })
    else send(owner, report)
  }

  private sendSample (server: ServerIncarnation, sample: PaceSample): void {
    const owner = this.findOwner(server)
    if (owner === this.opts.membership.instance) this.applyUpdate(owner, { server, sample })
    else if (owner !== undefined) this.opts.network.send(owner, RELEASE, { server, sample })
  }

  private buildMessage (ownServer: OwnServer): ReportMessage {
    return this.packReport(ownServer, this.own.buildReport(ownServer, this.opts.clock.readTime()))
  }

  private packReport ({ server, service }: OwnServer, report: InstanceReport): ReportMessage {
    return packReport(server, service, report, this.opts.clock.readTime())
  }

  private reserveLocally (instance: string, { id, report }: ReserveMessage): ReservationAnswer | undefined {
    const { clock, readPace } = this.opts
    const now = clock.readTime()
    const ledger = this.ledgers.put(report.server, report.service, now)
    if (!ledger) return undefined
    if (instance !== this.opts.membership.instance) this.reportOwn(report.server)
    const answer = ledger.reserve({ instance, report: unpackReport(report, now), id }, readPace(report.server, now), now)
    if (answer?.granted === false && this.opts.fleet.brittle.hasCare(report.service, now)) this.denied.add(report.server, instance)
    return answer
  }

  /** A new owner's own requests may have been reported to the former owner only. */
  private reportOwn (server: ServerIncarnation): void {
    const ownServer = this.own.find(server)
    if (ownServer) this.applyMessage(this.opts.membership.instance, this.buildMessage(ownServer))
  }

  private applyUpdate (from: string, { server, report, sample }: ServerUpdate): void {
    if (report) this.applyMessage(from, report)
    if (sample) this.opts.recordPace(server, sample, this.opts.clock.readTime())
  }

  private applyMessage (instance: string, message: ReportMessage): void {
    const now = this.opts.clock.readTime()
    // The end of the last request needs no ledger if there is none.
    const ledger = message.live.length > 0 ? this.ledgers.put(message.server, message.service, now) : this.ledgers.find(message.server)
    const ended = ledger?.apply(instance, unpackReport(message, now), now) ?? 0
    this.announceRoom(message.server, ended)
  }

  /** Tells as many instances that were denied a slot, those that wait longest first. */
  private announceRoom (server: ServerIncarnation, slots: number): void {
    for (const instance of this.denied.take(server, slots)) {
      if (instance === this.opts.membership.instance) this.takeRoom(instance, server)
      else this.opts.network.send(instance, ROOM, { server })
    }
  }

  /** Gives room back that no request of this instance asks for, as others may wait for it. */
  private takeRoom (owner: string, server: ServerIncarnation): void {
    const isUsed = this.opts.onRoom?.(server) ?? true
    if (isUsed) return
    if (owner === this.opts.membership.instance) this.announceRoom(server, 1)
    else this.opts.network.send(owner, ROOM_UNUSED, { server })
  }

  private recordDenial ({ id, server, team }: ReservationRequest, { reason, retryAfterMs, load }: Extract<ReservationAnswer, { granted: false }>): void {
    const facts = { request: id, backend: server.id, reason, retryAfterMs: Math.round(retryAfterMs), running: load.running, prefillTokens: load.prefillTokens }
    this.opts.log.record(DecisionKinds.RESERVATION_DENIED, team === undefined ? facts : { ...facts, team })
  }

  private async runExpiryLoop (signal: AbortSignal): Promise<void> {
    const { clock } = this.opts
    while (!signal.aborted) {
      await clock.wait(EXPIRY_INTERVAL_MS, signal)
      const now = clock.readTime()
      this.own.expire(now)
      this.ledgers.expire(now)
      for (const [owner, until] of this.silentUntil) if (until <= now) this.silentUntil.delete(owner)
    }
  }
}
