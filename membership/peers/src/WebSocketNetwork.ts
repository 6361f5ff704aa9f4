import http from 'node:http'
import https from 'node:https'
import type { AddressInfo } from 'node:net'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { Logger } from '@pulleystack/core.logging'
import { err, type Result } from 'neverthrow'
import { filter, map, Subject, type Observable } from 'rxjs'
import { WebSocket, WebSocketServer } from 'ws'
import type { Channel } from './Channel.js'
import { MAX_FRAME_BYTES, encodeFrame } from './frames.js'
import { PeerLink } from './PeerLink.js'
import { PeerNetwork, type CallHandler, type PeerEvent, type PeerIdentity, type Received } from './PeerNetwork.js'
import { UnsentFrames, type UnsentReport } from './UnsentFrames.js'

const MAX_DIAL_WAIT_MS = 4_000
const DIAL_TIMEOUT_MS = 2_000
const REPLACED_MS = 1_000
const IDLE_MS = 30_000
const LOOPBACK = /^(::1|(::ffff:)?127\.)/

// Peers connect by IP number, so the name in a certificate says nothing; the authority's signature is what counts.
const acceptAnyName = (): boolean => undefined as unknown as boolean

export interface WebSocketNetworkOptions {
  clock: Clock
  random: RandomSource
  logger: Logger
  /** Read anew for every hello. */
  readIdentity: () => PeerIdentity
  /** Where a peer that is no neighbour can be reached. */
  findAddress: (instance: string) => string | undefined
  host: string
  port: number
  heartbeatMs: number
  suspectAfterMs: number
  /** Secret that all peers share; without it only loopback is served, or a network that is said to be private. */
  secret?: string
  /** Nobody but peers can reach the listener. */
  privateNetwork?: boolean
  tls?: { ca: string, cert: string, key: string }
  /** Told at most once per peer and second. */
  onUnsent?: (report: UnsentReport) => void
}

/** The peer network over WebSockets: one task for each peer keeps its link open, one timer sends heartbeats. */
export class WebSocketNetwork extends PeerNetwork {
  private readonly links = new Map<string, PeerLink>()
  /** Every connection, also those that are being proven or that another one to the same peer has replaced. */
  private readonly all = new Set<PeerLink>()
  private readonly dialling = new Map<string, AbortController>()
  private readonly opening = new Map<string, Promise<PeerLink | undefined>>()
  private readonly handlers = new Map<string, CallHandler<unknown, unknown>>()
  private readonly received = new Subject<{ from: string, channel: string, body: unknown }>()
  private readonly events = new Subject<PeerEvent>()
  private readonly stopped = new AbortController()
  private server: http.Server | undefined
  private sentByClosed = 0
  private readonly unsent: UnsentFrames

  constructor (private readonly opts: WebSocketNetworkOptions) {
    super()
    this.unsent = new UnsentFrames(opts.clock, (report) => this.reportUnsent(report))
  }

  /** Listens; gives the port taken. */
  async start (): Promise<number> {
    const { tls } = this.opts
    this.server = tls ? https.createServer({ ...tls, requestCert: true, rejectUnauthorized: true, minVersion: 'TLSv1.3' }) : http.createServer()
    const server = this.server
    const sockets = new WebSocketServer({ server, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    sockets.on('connection', (socket, request) => this.accept(socket, request))
    sockets.on('error', (cause) => this.opts.logger.warn({ err: cause }, 'peer listener failed'))
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.opts.port, this.opts.host, resolve)
    })
    void this.keepBeating()
    return (server.address() as AddressInfo).port
  }

  async stop (): Promise<void> {
    this.stopped.abort()
    this.unsent.stop()
    for (const abort of this.dialling.values()) abort.abort()
    for (const link of this.all) link.close()
    this.server?.closeAllConnections()
    await new Promise<void>((resolve) => {
      if (this.server) this.server.close(() => resolve())
      else resolve()
    })
  }

  /** Bytes sent to peers since the start. */
  get sentBytes (): number {
    let sum = this.sentByClosed
    for (const link of this.links.values()) sum += link.sentBytes
    return sum
  }

  /** Bytes that wait to leave, over all links. */
  get backlogBytes (): number {
    let sum = 0
    for (const link of this.all) sum += link.backlogBytes
    return sum
  }

  /** Frames since the start that were left out because too much waited to leave for their peer. */
  get unsentFrames (): number {
    return this.unsent.total
  }

  get peerEvents (): Observable<PeerEvent> {
    return this.events
  }

  getClockOffset (instance: string): number {
    return this.links.get(instance)?.clockOffsetMs ?? 0
  }

  convertTime (instance: string, theirTime: number): number | undefined {
    return this.links.get(instance)?.convertTime(theirTime)
  }

  override countReached (): number {
    return [...this.links.values()].filter((link) => link.isOpen && !link.identity?.standby).length
  }

  listLinked (): string[] {
    return [...this.links].filter(([, link]) => link.isOpen).map(([instance]) => instance)
  }

  send<Body> (to: string, channel: Channel<Body>, body: Body): boolean {
    const link = this.findOpen(to)
    if (!link) void this.openOnce(to)
    return link?.send(channel, body) ?? false
  }

  /** Encodes once for all; instances on standby are left out. */
  override broadcast<Body> (channel: Channel<Body>, body: Body, except?: string): boolean {
    const bytes = encodeFrame({ t: 'send', channel: channel.name, body })
    let isTaken = true
    for (const [instance, link] of this.links) {
      if (instance === except || !link.isOpen || link.identity?.standby) continue
      isTaken = link.sendEncoded(bytes, channel.isOnce) && isTaken
    }
    return isTaken
  }

  receive<Body> (channel: Channel<Body>): Observable<Received<Body>> {
    return this.received.pipe(
      filter((it) => it.channel === channel.name),
      map((it) => ({ from: it.from, body: it.body as Body })),
    )
  }

  async call<Body, Answer> (to: string, channel: Channel<Body, Answer>, body: Body, timeoutMs: number): Promise<Result<Answer, PulleystackError>> {
    const link = this.findOpen(to) ?? await this.openOnce(to)
    if (!link) return err(new PulleystackError('INSTANCE_UNREACHABLE', `Peer ${to} cannot be reached`, { ran: Ran.NO }))
    return link.call(channel.name, body, timeoutMs) as Promise<Result<Answer, PulleystackError>>
  }

  handleCalls<Body, Answer> (channel: Channel<Body, Answer>, handler: CallHandler<Body, Answer>): void {
    this.handlers.set(channel.name, handler as CallHandler<unknown, unknown>)
  }

  setNeighbours (peers: readonly { instance: string, peerAddress: string }[]): void {
    // What was under way when this instance stopped may still name some, for whom nobody would ever stop looking.
    if (this.stopped.signal.aborted) return
    const wanted = new Set(peers.map((peer) => peer.instance))
    for (const [instance, abort] of this.dialling) {
      if (wanted.has(instance)) continue
      abort.abort()
      this.dialling.delete(instance)
      if (!this.findOpen(instance)) this.events.next({ kind: 'closed', instance })
    }
    for (const instance of wanted) {
      if (!this.dialling.has(instance)) this.startDialling(instance)
    }
  }

  /** Tells every peer that the own identity changed, as when leaving. */
  announceIdentity (): void {
    // Either of two links to one peer may be the one that is kept.
    for (const link of this.all) {
      if (link.isOpen) link.sendIdentity()
    }
  }

  /** Opens a link to whoever listens at an address, as to a seed whose name is not known; undefined when nobody does. */
  async connect (address: string): Promise<PeerIdentity | undefined> {
    const link = await this.dial(address)
    return link?.identity
  }

  private get isProtected (): boolean {
    return this.opts.secret !== undefined || this.opts.tls !== undefined || this.opts.privateNetwork === true
  }

  private startDialling (instance: string): void {
    const abort = new AbortController()
    this.dialling.set(instance, abort)
    void this.keepLinked(instance, abort.signal)
  }

  /** The task of one neighbour: dial, wait for the end of the link, dial again. Looking at every link would wake the process many times a second. */
  private async keepLinked (instance: string, signal: AbortSignal): Promise<void> {
    let wait = this.opts.heartbeatMs / 2
    while (!signal.aborted) {
      const link = this.findOpen(instance) ?? await this.openOnce(instance)
      if (link) await waitUntilClosed(link, signal)
      wait = link ? this.opts.heartbeatMs / 4 : Math.min(MAX_DIAL_WAIT_MS, wait * 2)
      if (!link && !signal.aborted) this.events.next({ kind: 'silent', instance })
      await this.opts.clock.wait(wait * (0.75 + this.opts.random.readFraction() / 2), signal)
    }
  }

  private findOpen (instance: string): PeerLink | undefined {
    const link = this.links.get(instance)
    return link?.isOpen ? link : undefined
  }

  private openOnce (instance: string): Promise<PeerLink | undefined> {
    const present = this.opening.get(instance)
    if (present) return present
    const opening = this.open(instance).finally(() => this.opening.delete(instance))
    this.opening.set(instance, opening)
    return opening
  }

  private open (instance: string): Promise<PeerLink | undefined> {
    const address = this.opts.findAddress(instance)
    return address === undefined ? Promise.resolve(undefined) : this.dial(address)
  }

  private dial (address: string): Promise<PeerLink | undefined> {
    if (address === '' || this.stopped.signal.aborted) return Promise.resolve(undefined)
    return new Promise((resolve) => {
      const { tls } = this.opts
      const socket = new WebSocket(`${tls ? 'wss' : 'ws'}://${address}`, {
        maxPayload: MAX_FRAME_BYTES,
        perMessageDeflate: false,
        handshakeTimeout: DIAL_TIMEOUT_MS,
        ...tls,
        checkServerIdentity: acceptAnyName,
      })
      const cancel = this.opts.clock.setTimer(DIAL_TIMEOUT_MS, () => socket.terminate())
      const finish = (link: PeerLink | undefined): void => {
        cancel()
        resolve(link)
      }
      socket.on('error', () => finish(undefined))
      socket.on('close', () => finish(undefined))
      socket.on('open', () => this.createLink(socket, true, finish))
    })
  }

  private accept (socket: WebSocket, request: http.IncomingMessage): void {
    const remote = request.socket.remoteAddress ?? ''
    if (!this.isProtected && !LOOPBACK.test(remote)) socket.terminate()
    else this.createLink(socket, false)
  }

  private createLink (socket: WebSocket, dialled: boolean, onOpened?: (link: PeerLink) => void): void {
    const link = new PeerLink({
      socket,
      dialled,
      clock: this.opts.clock,
      secret: this.opts.secret,
      readIdentity: this.opts.readIdentity,
      onOpen: (opened) => {
        this.takeLink(opened)
        onOpened?.(opened)
      },
      onIdentity: (known) => this.reportHeard(known),
      onClose: (closed) => this.dropLink(closed),
      onUnsent: (full) => this.unsent.note(full.identity?.instance ?? '', full.backlogBytes),
      onSend: (from, channel, body) => this.received.next({ from, channel, body }),
      onCall: (from, channel, body) => this.answerCall(from, channel, body),
    })
    this.all.add(link)
  }

  private async answerCall (from: string, channel: string, body: unknown): Promise<unknown> {
    const handler = this.handlers.get(channel)
    if (!handler) throw new PulleystackError('NOT_FOUND', `No handler for channel ${channel}`)
    return handler(from, body)
  }

  private takeLink (link: PeerLink): void {
    if (!link.identity) return
    const { instance } = link.identity
    const older = this.findOpen(instance)
    const kept = older && this.choosePreferred(instance, older, link)
    this.links.set(instance, kept ?? link)
    if (older) this.closeLater(kept === older ? link : older)
    this.events.next({ kind: 'heard', identity: link.identity, isNewLink: true })
  }

  /** When both sides have dialled, both keep the link that the one with the lower name opened; else the newer is kept. */
  private choosePreferred (instance: string, older: PeerLink, newer: PeerLink): PeerLink {
    if (older.dialled === newer.dialled) return newer
    const dialsFirst = this.opts.readIdentity().instance < instance
    return older.dialled === dialsFirst ? older : newer
  }

  /** Calls that are under way on a link that is not kept may still be answered. */
  private closeLater (link: PeerLink): void {
    this.opts.clock.setTimer(REPLACED_MS, () => link.close())
  }

  private dropLink (link: PeerLink): void {
    this.all.delete(link)
    this.sentByClosed += link.sentBytes
    const instance = link.identity?.instance
    if (!instance || this.links.get(instance) !== link) return
    this.links.delete(instance)
    // A neighbour is dialled again. Of any other peer this is the last that is heard, and whoever counts on its link has to know.
    if (!this.dialling.has(instance) && !this.stopped.signal.aborted) this.events.next({ kind: 'closed', instance })
  }

  private reportHeard (link: PeerLink): void {
    if (link.identity) this.events.next({ kind: 'heard', identity: link.identity })
  }

  private reportUnsent (report: UnsentReport): void {
    this.opts.logger.warn(report, 'frames to a peer were not sent')
    this.opts.onUnsent?.(report)
  }

  private async keepBeating (): Promise<void> {
    const { clock, heartbeatMs, suspectAfterMs } = this.opts
    let dueAt = clock.readTime() + heartbeatMs
    while (!this.stopped.signal.aborted) {
      await clock.wait(heartbeatMs, this.stopped.signal)
      const now = clock.readTime()
      // Timers run before sockets are read, so that what peers said while this process was held up is not known yet.
      const heldUpMs = Math.max(0, now - dueAt)
      dueAt = now + heartbeatMs
      for (const [instance, link] of this.links) {
        link.sendBeat()
        if (now - link.lastHeard - heldUpMs > suspectAfterMs) this.cutSilent(instance, link)
        else if (this.isIdle(instance, link, now)) link.close()
        else this.reportHeard(link)
      }
    }
  }

  /** A link that this side opened for one use or a former neighbour, and that nobody has needed since. */
  private isIdle (instance: string, link: PeerLink, now: number): boolean {
    return link.dialled && !this.dialling.has(instance) && now - link.lastUsed > IDLE_MS
  }

  private cutSilent (instance: string, link: PeerLink): void {
    link.close()
    this.events.next({ kind: 'silent', instance })
  }
}

/** Resolves when a link has closed or nobody needs it any more. */
function waitUntilClosed (link: PeerLink, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const finish = (): void => {
      signal.removeEventListener('abort', finish)
      resolve()
    }
    signal.addEventListener('abort', finish, { once: true })
    if (signal.aborted) finish()
    void link.closed.then(finish)
  })
}
