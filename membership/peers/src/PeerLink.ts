import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran, ResultCodes, type ResultCodeName } from '@pulleystack/core.errors'
import { reportTaskFailure } from '@pulleystack/core.tasks'
import { err, ok, type Result } from 'neverthrow'
import type { RawData, WebSocket } from 'ws'
import type { Channel } from './Channel.js'
import { decodeFrame, encodeFrame, type Heartbeat, type Frame } from './frames.js'
import { checkProof, createNonce, createProof } from './handshake.js'
import type { PeerIdentity } from './PeerNetwork.js'
import { TimeOffset } from './TimeOffset.js'

/** Backlog limit for messages that later ones supersede: 0.2 s on a 10 Mbit/s link. */
const MAX_BUFFERED_BYTES = 256 << 10
/** Backlog limit for messages that no later one supersedes; bounds the memory. */
const MAX_BUFFERED_ONE_SHOT_BYTES = 16 << 20
const HANDSHAKE_TIMEOUT_MS = 5_000

export interface PeerLinkOptions {
  socket: WebSocket
  /** Whether this side opened the connection. */
  dialled: boolean
  clock: Clock
  secret: string | undefined
  readIdentity: () => PeerIdentity
  onOpen: (link: PeerLink) => void
  onIdentity: (link: PeerLink) => void
  onClose: (link: PeerLink) => void
  onSend: (from: string, channel: string, body: unknown) => void
  /** A frame was not sent because of the backlog. */
  onUnsent: (link: PeerLink) => void
  onCall: (from: string, channel: string, body: unknown) => Promise<unknown>
}

interface PendingCall {
  resolve: (result: Result<unknown, PulleystackError>) => void
  cancelTimer: () => void
}

/** A connection to a peer, from handshake to close. */
export class PeerLink {
  identity: PeerIdentity | undefined
  /** Monotonic time of the last frame received, in ms. */
  lastReceivedAt: number
  clockOffsetMs = 0
  sentBytes = 0
  /** Monotonic time at which the link was last used for more than heartbeats, in ms. */
  lastUsedAt: number
  /** Resolves when the connection is closed. */
  readonly closed: Promise<void>
  private resolveClosed: () => void = () => undefined
  private readonly nonce = createNonce()
  private peerNonce = ''
  private isAuthenticated = false
  private nextCallId = 1
  private lastHeartbeat: { at: number, time: number, heardAt: number } | undefined
  private readonly timeOffset = new TimeOffset()
  private readonly pending = new Map<number, PendingCall>()

  constructor (private readonly opts: PeerLinkOptions) {
    this.lastReceivedAt = opts.clock.readTime()
    this.lastUsedAt = this.lastReceivedAt
    this.closed = new Promise((resolve) => {
      this.resolveClosed = resolve
    })
    opts.socket.on('message', (data) => this.receive(data))
    opts.socket.on('close', () => this.handleClose())
    opts.socket.on('error', () => opts.socket.terminate())
    const cancel = opts.clock.setTimer(HANDSHAKE_TIMEOUT_MS, () => {
      if (!this.isAuthenticated) opts.socket.terminate()
    })
    opts.socket.on('close', cancel)
    this.write({ t: 'hello', identity: opts.readIdentity(), nonce: this.nonce })
  }

  get dialled (): boolean {
    return this.opts.dialled
  }

  get isOpen (): boolean {
    return this.isAuthenticated && this.opts.socket.readyState === this.opts.socket.OPEN
  }

  /** Bytes queued for sending. */
  get backlogBytes (): number {
    return this.opts.socket.bufferedAmount
  }

  send<Body> (channel: Channel<Body>, body: Body): boolean {
    return this.sendEncoded(encodeFrame({ t: 'send', channel: channel.name, body }), channel.isOneShot)
  }

  /** Sends an encoded frame; returns false when the link is closed or its backlog too large. */
  sendEncoded (bytes: Buffer, isOneShot = false): boolean {
    if (!this.isOpen) return false
    // A slow peer or link must not accumulate messages without limit.
    if (this.backlogBytes > (isOneShot ? MAX_BUFFERED_ONE_SHOT_BYTES : MAX_BUFFERED_BYTES)) {
      this.opts.onUnsent(this)
      return false
    }
    this.lastUsedAt = this.opts.clock.readTime()
    this.writeBytes(bytes)
    return true
  }

  call (channel: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PulleystackError>> {
    const id = this.nextCallId++
    this.lastUsedAt = this.opts.clock.readTime()
    return new Promise((resolve) => {
      const cancelTimer = this.opts.clock.setTimer(timeoutMs, () => this.settle(id, err(createCallError('did not answer within the timeout'))))
      this.pending.set(id, { resolve, cancelTimer })
      this.write({ t: 'call', id, channel, body })
    })
  }

  sendHeartbeat (): void {
    const now = this.opts.clock.readTime()
    const echo = this.lastHeartbeat && { echo: this.lastHeartbeat.at, echoTime: this.lastHeartbeat.time, heldMs: now - this.lastHeartbeat.heardAt }
    this.write({ t: 'beat', at: this.opts.clock.readWallTime(), time: now, ...echo })
  }

  /** Converts a peer's monotonic time to the latest own one that is guaranteed not to be after it; undefined before the first echo. */
  convertTime (peerTime: number): number | undefined {
    return this.timeOffset.convert(peerTime, this.opts.clock.readTime())
  }

  sendIdentity (): void {
    this.write({ t: 'identity', identity: this.opts.readIdentity() })
  }

  close (): void {
    this.opts.socket.terminate()
  }

  private write (frame: Frame): void {
    if (this.opts.socket.readyState === this.opts.socket.OPEN) this.writeBytes(encodeFrame(frame))
  }

  private writeBytes (bytes: Buffer): void {
    this.sentBytes += bytes.length
    this.opts.socket.send(bytes)
  }

  private receive (data: RawData): void {
    const frame = decodeFrame(data as Buffer)
    if (!frame || !this.tryHandleFrame(frame)) this.opts.socket.terminate()
    else this.lastReceivedAt = this.opts.clock.readTime()
  }

  /** Returns false for a frame that can't be handled, so that its link is closed. */
  private tryHandleFrame (frame: Frame): boolean {
    try {
      return this.handleFrame(frame)
    } catch (error) {
      reportTaskFailure({ task: `frame ${frame.t} of peer ${this.identity?.instance ?? 'unknown'}`, error })
      return false
    }
  }

  private handleFrame (frame: Frame): boolean {
    if (frame.t === 'hello') return this.handleHello(frame.identity, frame.nonce)
    if (frame.t === 'proof') return this.handleProof(frame.proof)
    if (!this.isAuthenticated || !this.identity) return false
    if (frame.t === 'beat') this.handleHeartbeat(frame)
    else if (frame.t === 'identity') this.handleIdentity(frame.identity)
    else if (frame.t === 'send') this.opts.onSend(this.identity.instance, frame.channel, frame.body)
    else if (frame.t === 'call') void this.answerCall(frame.id, frame.channel, frame.body)
    else if (frame.t === 'answer') this.handleAnswer(frame)
    return true
  }

  private handleHello (identity: PeerIdentity, nonce: string): boolean {
    if (this.identity || typeof identity?.instance !== 'string' || typeof nonce !== 'string') return false
    this.identity = identity
    this.peerNonce = nonce
    const { secret } = this.opts
    this.write({ t: 'proof', proof: secret === undefined ? '' : createProof(secret, nonce, this.nonce, this.opts.readIdentity().instance) })
    return true
  }

  private handleProof (proof: string): boolean {
    const { secret } = this.opts
    if (!this.identity || this.isAuthenticated) return false
    if (secret !== undefined && !checkProof(secret, proof, this.peerNonce, this.nonce, this.identity.instance)) return false
    this.isAuthenticated = true
    // The identity sent with the hello may have changed during the handshake.
    this.sendIdentity()
    this.sendHeartbeat()
    this.opts.onOpen(this)
    return true
  }

  private handleIdentity (identity: PeerIdentity): void {
    if (identity?.instance !== this.identity?.instance) return
    this.identity = identity
    this.opts.onIdentity(this)
  }

  private handleHeartbeat (heartbeat: Heartbeat): void {
    const isFirst = this.lastHeartbeat === undefined
    const heardAt = this.opts.clock.readTime()
    this.lastHeartbeat = { at: heartbeat.at, time: heartbeat.time, heardAt }
    // Lets the peer learn this side's clock before the next regular heartbeat.
    if (isFirst) this.sendHeartbeat()
    const { echo, echoTime, heldMs = 0 } = heartbeat
    if (echo === undefined || echoTime === undefined) return
    this.timeOffset.recordEcho({ sentAt: echoTime, peerTime: heartbeat.time, heldMs }, heardAt)
    const now = this.opts.clock.readWallTime()
    const roundTrip = now - echo - heldMs
    this.clockOffsetMs = heartbeat.at + roundTrip / 2 - now
  }

  private async answerCall (id: number, channel: string, body: unknown): Promise<void> {
    try {
      const answer = await this.opts.onCall(this.identity?.instance ?? '', channel, body)
      this.write({ t: 'answer', id, body: answer })
    } catch (thrown) {
      const error = thrown instanceof PulleystackError ? thrown : undefined
      this.write({ t: 'answer', id, error: { code: error?.code ?? 'INTERNAL', message: String((thrown as Error)?.message), ran: error?.ran ?? Ran.UNKNOWN } })
    }
  }

  private handleAnswer (frame: Extract<Frame, { t: 'answer' }>): void {
    if (!frame.error) {
      this.settle(frame.id, ok(frame.body))
      return
    }
    const code = (frame.error.code in ResultCodes ? frame.error.code : 'INTERNAL') as ResultCodeName
    this.settle(frame.id, err(new PulleystackError(code, frame.error.message, { ran: frame.error.ran as Ran })))
  }

  private settle (id: number, result: Result<unknown, PulleystackError>): void {
    const pending = this.pending.get(id)
    if (!pending) return
    this.pending.delete(id)
    pending.cancelTimer()
    pending.resolve(result)
  }

  private handleClose (): void {
    for (const id of [...this.pending.keys()]) this.settle(id, err(createCallError('closed the link before answering')))
    this.opts.onClose(this)
    this.resolveClosed()
  }
}

function createCallError (reason: string): PulleystackError {
  return new PulleystackError('INSTANCE_UNREACHABLE', `A peer ${reason}`, { ran: Ran.UNKNOWN })
}
