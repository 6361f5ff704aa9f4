import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran, ResultCodes, type ResultCodeName } from '@pulleystack/core.errors'
import { err, ok, type Result } from 'neverthrow'
import type { RawData, WebSocket } from 'ws'
import type { Channel } from './Channel.js'
import { decodeFrame, encodeFrame, type Beat, type Frame } from './frames.js'
import { checkProof, createNonce, createProof } from './handshake.js'
import type { PeerIdentity } from './PeerNetwork.js'
import { TimeOffset } from './TimeOffset.js'

/** Messages that later ones make up for wait behind no more than this: 0.2 s of a link of 10 Mbit/s, the narrowest that sites have. */
const MAX_BUFFERED_BYTES = 256 << 10
/** Messages that nothing makes up for are dropped only to spare memory. */
const MAX_BUFFERED_ONCE_BYTES = 16 << 20
const HANDSHAKE_MS = 5_000

export interface PeerLinkOptions {
  socket: WebSocket
  /** This side opened the connection. */
  dialled: boolean
  clock: Clock
  secret: string | undefined
  readIdentity: () => PeerIdentity
  onOpen: (link: PeerLink) => void
  onIdentity: (link: PeerLink) => void
  onClose: (link: PeerLink) => void
  onSend: (from: string, channel: string, body: unknown) => void
  /** A frame was left out since too much waits to leave. */
  onUnsent: (link: PeerLink) => void
  onCall: (from: string, channel: string, body: unknown) => Promise<unknown>
}

interface PendingCall {
  resolve: (result: Result<unknown, PulleystackError>) => void
  cancelTimer: () => void
}

/** One connection to one peer, from handshake to close. */
export class PeerLink {
  identity: PeerIdentity | undefined
  /** Monotone time of the last frame. */
  lastHeard: number
  clockOffsetMs = 0
  sentBytes = 0
  /** Monotone time at which the link was last used for more than heartbeats. */
  lastUsed: number
  /** Resolves when the connection has closed. */
  readonly closed: Promise<void>
  private noteClosed: () => void = () => undefined
  private readonly nonce = createNonce()
  private theirNonce = ''
  private proven = false
  private nextCall = 1
  private lastBeat: { at: number, time: number, heardAt: number } | undefined
  private readonly timeOffset = new TimeOffset()
  private readonly pending = new Map<number, PendingCall>()

  constructor (private readonly opts: PeerLinkOptions) {
    this.lastHeard = opts.clock.readTime()
    this.lastUsed = this.lastHeard
    this.closed = new Promise((resolve) => {
      this.noteClosed = resolve
    })
    opts.socket.on('message', (data) => this.receive(data))
    opts.socket.on('close', () => this.finish())
    opts.socket.on('error', () => opts.socket.terminate())
    const cancel = opts.clock.setTimer(HANDSHAKE_MS, () => {
      if (!this.proven) opts.socket.terminate()
    })
    opts.socket.on('close', cancel)
    this.write({ t: 'hello', identity: opts.readIdentity(), nonce: this.nonce })
  }

  get dialled (): boolean {
    return this.opts.dialled
  }

  get isOpen (): boolean {
    return this.proven && this.opts.socket.readyState === this.opts.socket.OPEN
  }

  /** Bytes that wait to leave. */
  get backlogBytes (): number {
    return this.opts.socket.bufferedAmount
  }

  send<Body> (channel: Channel<Body>, body: Body): boolean {
    return this.sendEncoded(encodeFrame({ t: 'send', channel: channel.name, body }), channel.isOnce)
  }

  /** Sends a frame that was encoded for several peers; false when too much waits on the link. */
  sendEncoded (bytes: Buffer, isOnce = false): boolean {
    if (!this.isOpen) return false
    // A peer that does not read, or a link that is full, gets less, not more; later messages make up for what is left out.
    if (this.backlogBytes > (isOnce ? MAX_BUFFERED_ONCE_BYTES : MAX_BUFFERED_BYTES)) {
      this.opts.onUnsent(this)
      return false
    }
    this.lastUsed = this.opts.clock.readTime()
    this.writeBytes(bytes)
    return true
  }

  call (channel: string, body: unknown, timeoutMs: number): Promise<Result<unknown, PulleystackError>> {
    const id = this.nextCall++
    this.lastUsed = this.opts.clock.readTime()
    return new Promise((resolve) => {
      const cancelTimer = this.opts.clock.setTimer(timeoutMs, () => this.settle(id, err(createCallError('did not answer in time'))))
      this.pending.set(id, { resolve, cancelTimer })
      this.write({ t: 'call', id, channel, body })
    })
  }

  sendBeat (): void {
    const now = this.opts.clock.readTime()
    const echo = this.lastBeat && { echo: this.lastBeat.at, echoTime: this.lastBeat.time, heldMs: now - this.lastBeat.heardAt }
    this.write({ t: 'beat', at: this.opts.clock.readWallTime(), time: now, ...echo })
  }

  /** The latest own monotone time that surely is not after a time of the peer's; undefined before the first echo. */
  convertTime (theirTime: number): number | undefined {
    return this.timeOffset.convert(theirTime, this.opts.clock.readTime())
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
    if (!frame || !this.take(frame)) this.opts.socket.terminate()
    else this.lastHeard = this.opts.clock.readTime()
  }

  private take (frame: Frame): boolean {
    if (frame.t === 'hello') return this.takeHello(frame.identity, frame.nonce)
    if (frame.t === 'proof') return this.takeProof(frame.proof)
    if (!this.proven || !this.identity) return false
    if (frame.t === 'beat') this.takeBeat(frame)
    else if (frame.t === 'identity') this.takeIdentity(frame.identity)
    else if (frame.t === 'send') this.opts.onSend(this.identity.instance, frame.channel, frame.body)
    else if (frame.t === 'call') void this.answerCall(frame.id, frame.channel, frame.body)
    else if (frame.t === 'answer') this.takeAnswer(frame)
    return true
  }

  private takeHello (identity: PeerIdentity, nonce: string): boolean {
    if (this.identity || typeof identity?.instance !== 'string' || typeof nonce !== 'string') return false
    this.identity = identity
    this.theirNonce = nonce
    const { secret } = this.opts
    this.write({ t: 'proof', proof: secret === undefined ? '' : createProof(secret, nonce, this.nonce, this.opts.readIdentity().instance) })
    return true
  }

  private takeProof (proof: string): boolean {
    const { secret } = this.opts
    if (!this.identity || this.proven) return false
    if (secret !== undefined && !checkProof(secret, proof, this.theirNonce, this.nonce, this.identity.instance)) return false
    this.proven = true
    // What the hello told may have changed while the peer proved itself.
    this.sendIdentity()
    this.sendBeat()
    this.opts.onOpen(this)
    return true
  }

  private takeIdentity (identity: PeerIdentity): void {
    if (identity?.instance !== this.identity?.instance) return
    this.identity = identity
    this.opts.onIdentity(this)
  }

  private takeBeat (beat: Beat): void {
    const isFirst = this.lastBeat === undefined
    const heardAt = this.opts.clock.readTime()
    this.lastBeat = { at: beat.at, time: beat.time, heardAt }
    // The other side knows the clock of this one by the echo, which need not wait for the next heartbeat.
    if (isFirst) this.sendBeat()
    const { echo, echoTime, heldMs = 0 } = beat
    if (echo === undefined || echoTime === undefined) return
    this.timeOffset.noteEcho({ sentAt: echoTime, theirTime: beat.time, heldMs }, heardAt)
    const now = this.opts.clock.readWallTime()
    const roundTrip = now - echo - heldMs
    this.clockOffsetMs = beat.at + roundTrip / 2 - now
  }

  private async answerCall (id: number, channel: string, body: unknown): Promise<void> {
    try {
      const answer = await this.opts.onCall(this.identity?.instance ?? '', channel, body)
      this.write({ t: 'answer', id, body: answer })
    } catch (thrown) {
      const known = thrown instanceof PulleystackError ? thrown : undefined
      this.write({ t: 'answer', id, error: { code: known?.code ?? 'INTERNAL', message: String((thrown as Error)?.message), ran: known?.ran ?? Ran.UNKNOWN } })
    }
  }

  private takeAnswer (frame: Extract<Frame, { t: 'answer' }>): void {
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

  private finish (): void {
    for (const id of [...this.pending.keys()]) this.settle(id, err(createCallError('closed the link')))
    this.opts.onClose(this)
    this.noteClosed()
  }
}

function createCallError (reason: string): PulleystackError {
  return new PulleystackError('INSTANCE_UNREACHABLE', `A peer ${reason}`, { ran: Ran.UNKNOWN })
}
