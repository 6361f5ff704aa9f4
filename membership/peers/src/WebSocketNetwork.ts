import http from 'node:http'
import https from 'node:https'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { listenWhenFree } from '@pulleystack/core.listeners'
import type { Logger } from '@pulleystack/core.logging'
import { keepRunning } from '@pulleystack/core.tasks'
import { err, type Result } from 'neverthrow'
import { filter, map, Subject, type Observable } from 'rxjs'
import { WebSocket, WebSocketServer } from 'ws'
import type { Channel } from './Channel.js'
import { MAX_FRAME_BYTES, encodeFrame } from './frames.js'
import { LinkSilence } from './LinkSilence.js'
import { PeerLink } from './PeerLink.js'
import { PeerNetwork, type CallHandler, type PeerEvent, type PeerIdentity, type Received } from './PeerNetwork.js'
import { UnidentifiedConnections } from './UnidentifiedConnections.js'
import { UnsentFrames, type UnsentReport } from './UnsentFrames.js'

const MAX_DIAL_BACKOFF_MS = 4_000
const DIAL_TIMEOUT_MS = 2_000
const REPLACED_LINK_CLOSE_DELAY_MS = 1_000
const IDLE_TIMEOUT_MS = 30_000
const LOOPBACK_ADDRESS = /^(::1|(::ffff:)?127\.)/

// Peers connect by IP address, so only the signature of the certificate authority is verified, not the name.
const acceptAnyName = (): boolean => undefined as unknown as boolean

export interface WebSocketNetworkOptions {
  clock: Clock
  random: RandomSource
  logger: Logger
  /** Called for each handshake. */
  readIdentity: () => PeerIdentity
  /** Finds a peer's address. */
  findAddress: (instance: string) => string | undefined
  host: string
  port: number
  heartbeatMs: number
  suspectAfterMs: number
  /** Secret shared by all peers. Without it, TLS or `privateNetwork`, only loopback connections are accepted. */
  secret?: string
  /** Whether only peers can reach the listener. */
  privateNetwork?: boolean
  tls?: { ca: string, cert: string, key: string }
  /** Connections that may be open without having identified themselves as a peer; others come back after their dial backoff. */
  maxUnidentified?: number
  /** Called at most once per peer and second. */
  onUnsent?: (report: UnsentReport) => void
}

/** The peer network over WebSockets: a task per neighbour keeps its link open, one timer sends heartbeats. */
export class WebSocketNetwork extends PeerNetwork {
  private readonly links = new Map<string, PeerLink>()
  private readonly silence: LinkSilence
  /** All connections, including those still in the handshake or replaced by another link to the same peer. */
  private readonly allLinks = new Set<PeerLink>()
  private readonly neighbourTasks = new Map<string, AbortController>()
  private readonly opening = new Map<string, Promise<PeerLink | undefined>>()
  private readonly handlers = new Map<string, CallHandler<unknown, unknown>>()
  private readonly received = new Subject<{ from: string, channel: string, body: unknown }>()
  private readonly events = new Subject<PeerEvent>()
  private readonly stopped = new AbortController()
  private server: http.Server | undefined
  private readonly unidentified: UnidentifiedConnections
  private sentBytesByClosed = 0
  private readonly unsent: UnsentFrames

  constructor (private readonly opts: WebSocketNetworkOptions) {
    super()
    this.silence = new LinkSilence(opts.clock, opts.heartbeatMs)
    this.unidentified = new UnidentifiedConnections(opts.maxUnidentified)
    this.unsent = new UnsentFrames(opts.clock, (report) => this.reportUnsent(report))
  }

  /** Starts listening; returns the port. */
  async start (): Promise<number> {
    const { tls } = this.opts
    this.server = tls ? https.createServer({ ...tls, requestCert: true, rejectUnauthorized: true, minVersion: 'TLSv1.3' }) : http.createServer()
    const server = this.server
    const { host, port, clock, logger } = this.opts
    const recordError = (cause: Error): void => {
      logger.error({ err: cause }, 'peer listener failed')
    }
    await listenWhenFree(server, { host, port, clock, onError: recordError })
    // Without a handler, a request that is no upgrade would never be answered.
    server.on('request', (request) => request.socket.destroy())
    server.on('connection', (socket: Socket) => this.unidentified.add(socket))
    const sockets = new WebSocketServer({ server, maxPayload: MAX_FRAME_BYTES, perMessageDeflate: false })
    sockets.on('connection', (socket, request) => this.accept(socket, request))
    sockets.on('error', recordError)
    keepRunning({ task: 'peer heartbeats', clock, signal: this.stopped.signal, run: () => this.sendHeartbeats() })
    return (server.address() as AddressInfo).port
  }

  async stop (): Promise<void> {
    this.stopped.abort()
    this.unsent.stop()
    for (const abort of this.neighbourTasks.values()) abort.abort()
    for (const link of this.allLinks) link.close()
    this.server?.closeAllConnections()
    await new Promise<void>((resolve) => {
      if (this.server) this.server.close(() => resolve())
      else resolve()
    })
  }

  /** Bytes sent to peers since the start. */
  get sentBytes (): number {
    let sum = this.sentBytesByClosed
    for (const link of this.links.values()) sum += link.sentBytes
    return sum
  }

  /** Bytes queued for sending on all links. */
  get backlogBytes (): number {
    let sum = 0
    for (const link of this.allLinks) sum += link.backlogBytes
    return sum
  }

  /** Frames not sent because of a backlog, since the start. */
  get unsentFrames (): number {
    return this.unsent.total
  }

  get peerEvents (): Observable<PeerEvent> {
    return this.events
  }

  getClockOffset (instance: string): number {
    return this.links.get(instance)?.clockOffsetMs ?? 0
  }

  convertTime (instance: string, peerTime: number): number | undefined {
    return this.links.get(instance)?.convertTime(peerTime)
  }

  override countBroadcastPeers (): number {
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

  /** Encodes the message once and skips standby instances. */
  override broadcast<Body> (channel: Channel<Body>, body: Body, except?: string): boolean {
    const bytes = encodeFrame({ t: 'send', channel: channel.name, body })
    let isSent = true
    for (const [instance, link] of this.links) {
      if (instance === except || !link.isOpen || link.identity?.standby) continue
      isSent = link.sendEncoded(bytes, channel.isOneShot) && isSent
    }
    return isSent
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
    // A call after the stop would start dialling tasks that are never aborted.
    if (this.stopped.signal.aborted) return
    const wanted = new Set(peers.map((peer) => peer.instance))
    for (const [instance, abort] of this.neighbourTasks) {
      if (wanted.has(instance)) continue
      abort.abort()
      this.neighbourTasks.delete(instance)
      this.silence.delete(instance)
      if (!this.findOpen(instance)) this.events.next({ kind: 'closed', instance })
    }
    for (const instance of wanted) {
      if (!this.neighbourTasks.has(instance)) this.startDialling(instance)
    }
  }

  /** Sends the changed own identity to all peers, for example when leaving. */
  announceIdentity (): void {
    // Of two links to one peer, either may be kept.
    for (const link of this.allLinks) {
      if (link.isOpen) link.sendIdentity()
    }
  }

  /** Opens a link to an address, for example of a seed whose name is unknown; returns undefined when that fails. */
  async connect (address: string): Promise<PeerIdentity | undefined> {
    const link = await this.dial(address)
    return link?.identity
  }

  private get isProtected (): boolean {
    return this.opts.secret !== undefined || this.opts.tls !== undefined || this.opts.privateNetwork === true
  }

  private startDialling (instance: string): void {
    const abort = new AbortController()
    this.neighbourTasks.set(instance, abort)
    keepRunning({ task: `link to ${instance}`, clock: this.opts.clock, signal: abort.signal, run: () => this.keepLinkOpen(instance, abort.signal) })
  }

  /** Keeps the link to a neighbour open: dials, waits until the link closes and dials again, without polling. */
  private async keepLinkOpen (instance: string, signal: AbortSignal): Promise<void> {
    let waitMs = this.opts.heartbeatMs / 2
    while (!signal.aborted) {
      const link = this.findOpen(instance) ?? await this.openOnce(instance)
      if (link) await waitUntilClosed(link, signal)
      waitMs = link ? this.opts.heartbeatMs / 4 : Math.min(MAX_DIAL_BACKOFF_MS, waitMs * 2)
      if (!link && !signal.aborted) this.events.next({ kind: 'silent', instance, ...this.silence.describe(instance) })
      await this.opts.clock.wait(waitMs * (0.75 + this.opts.random.readFraction() / 2), signal)
    }
  }

  private findOpen (instance: string): PeerLink | undefined {
    const link = this.links.get(instance)
    return link?.isOpen ? link : undefined
  }

  private openOnce (instance: string): Promise<PeerLink | undefined> {
    const pending = this.opening.get(instance)
    if (pending) return pending
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
    if (!this.isProtected && !LOOPBACK_ADDRESS.test(remote)) {
      socket.terminate()
      return
    }
    this.createLink(socket, false, () => this.unidentified.remove(request.socket))
  }

  private createLink (socket: WebSocket, dialled: boolean, onOpened?: (link: PeerLink) => void): void {
    const link = new PeerLink({
      socket,
      dialled,
      clock: this.opts.clock,
      secret: this.opts.secret,
      readIdentity: this.opts.readIdentity,
      onOpen: (opened) => {
        this.addLink(opened)
        onOpened?.(opened)
      },
      onIdentity: (identified) => this.reportHeard(identified),
      onClose: (closed) => this.removeLink(closed),
      onUnsent: (congested) => this.unsent.record(congested.identity?.instance ?? '', congested.backlogBytes),
      onSend: (from, channel, body) => this.received.next({ from, channel, body }),
      onCall: (from, channel, body) => this.answerCall(from, channel, body),
    })
    this.allLinks.add(link)
  }

  private async answerCall (from: string, channel: string, body: unknown): Promise<unknown> {
    const handler = this.handlers.get(channel)
    if (!handler) throw new PulleystackError('NOT_FOUND', `No handler for channel ${channel}`)
    return handler(from, body)
  }

  private addLink (link: PeerLink): void {
    if (!link.identity) return
    const { instance } = link.identity
    const older = this.findOpen(instance)
    const kept = older && this.choosePreferred(instance, older, link)
    this.links.set(instance, kept ?? link)
    if (older) this.closeLater(kept === older ? link : older)
    const silence = older ? { silentSince: this.silence.compute(older) } : this.silence.describe(instance)
    this.silence.delete(instance)
    this.events.next({ kind: 'heard', identity: link.identity, isNewLink: true, ...silence })
  }

  /** When both sides have dialled, both keep the link opened by the instance with the lower name; otherwise the newer is kept. */
  private choosePreferred (instance: string, older: PeerLink, newer: PeerLink): PeerLink {
    if (older.dialled === newer.dialled) return newer
    const dialsFirst = this.opts.readIdentity().instance < instance
    return older.dialled === dialsFirst ? older : newer
  }

  /** Delays the close so that pending calls on a replaced link can still be answered. */
  private closeLater (link: PeerLink): void {
    this.opts.clock.setTimer(REPLACED_LINK_CLOSE_DELAY_MS, () => link.close())
  }

  private removeLink (link: PeerLink): void {
    this.allLinks.delete(link)
    this.sentBytesByClosed += link.sentBytes
    const instance = link.identity?.instance
    if (!instance || this.links.get(instance) !== link) return
    this.links.delete(instance)
    // Neighbours are dialled again; for any other peer this is the only notification that its link is gone.
    if (this.neighbourTasks.has(instance)) this.silence.recordClosed(instance, link)
    else if (!this.stopped.signal.aborted) this.events.next({ kind: 'closed', instance })
  }

  private reportHeard (link: PeerLink): void {
    if (link.identity) this.events.next({ kind: 'heard', identity: link.identity })
  }

  private reportUnsent (report: UnsentReport): void {
    this.opts.logger.warn(report, 'frames to a peer were not sent')
    this.opts.onUnsent?.(report)
  }

  private async sendHeartbeats (): Promise<void> {
    const { clock, heartbeatMs, suspectAfterMs } = this.opts
    let dueAt = clock.readTime() + heartbeatMs
    while (!this.stopped.signal.aborted) {
      await clock.wait(heartbeatMs, this.stopped.signal)
      const now = clock.readTime()
      // Timers run before sockets are read, so frames received while the event loop was blocked are not processed yet.
      const stalledMs = Math.max(0, now - dueAt)
      dueAt = now + heartbeatMs
      for (const [instance, link] of this.links) {
        link.sendHeartbeat()
        if (now - link.lastReceivedAt - stalledMs > suspectAfterMs) this.closeSilent(instance, link, stalledMs)
        else if (this.isIdle(instance, link, now)) link.close()
        else this.reportHeard(link)
      }
    }
  }

  /** Whether a link that this side opened to a peer other than a neighbour is unused. */
  private isIdle (instance: string, link: PeerLink, now: number): boolean {
    return link.dialled && !this.neighbourTasks.has(instance) && now - link.lastUsedAt > IDLE_TIMEOUT_MS
  }

  private closeSilent (instance: string, link: PeerLink, stalledMs: number): void {
    link.close()
    this.events.next({ kind: 'silent', instance, silentSince: this.silence.compute(link, stalledMs) })
  }
}

/** Resolves when the link closes or the signal is aborted. */
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
