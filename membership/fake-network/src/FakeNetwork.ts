import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { PeerNetwork, defineChannel, measureSend, type CallHandler, type Channel, type PeerEvent, type PeerIdentity, type Received } from '@pulleystack/membership.peers'
import { err, ok, type Result } from 'neverthrow'
import { filter, map, Subject, type Observable } from 'rxjs'

/** Names of channels add little to what is measured. */
const ANY = defineChannel<unknown>('any')

/** A node's way out: all that it sends leaves one after the other. */
interface Uplink {
  bytesPerSecond: number
  /** Time at which everything sent so far has left. */
  freeAt: number
  sentBytes: number
}

/** A direction in which nothing arrives for now, and what waits there. */
interface HeldDirection {
  from: string
  to: string
  waiting: (() => void)[]
}

/** What carries the messages of all fake networks of one test. */
export class FakeHub {
  /** Share of messages lost, and repeated. */
  lossShare = 0
  repeatShare = 0
  /** Messages take up to this long, each its own time, so that they overtake each other. */
  maxDelayMs = 0
  messages = 0
  private readonly nodes = new Map<string, FakeNetwork>()
  private readonly cuts = new Set<string>()
  private readonly uplinks = new Map<string, Uplink>()
  /** Milliseconds that messages take from one node to another, beside all else. */
  private readonly delays = new Map<string, number>()
  private held: HeldDirection[] = []
  /** Milliseconds by which nodes' monotone clocks are ahead of the common one; undefined for clocks that no peer knows. */
  readonly timeOffsets = new Map<string, number | undefined>()

  constructor (readonly opts: { clock: Clock, random: RandomSource }) {}

  createNode (identity: PeerIdentity): FakeNetwork {
    const node = new FakeNetwork(this, identity)
    this.nodes.set(identity.instance, node)
    return node
  }

  removeNode (instance: string): void {
    this.nodes.delete(instance)
  }

  findNode (instance: string): FakeNetwork | undefined {
    return this.nodes.get(instance)
  }

  cut (a: string, b: string): void {
    this.cuts.add(`${a}|${b}`).add(`${b}|${a}`)
  }

  healAll (): void {
    this.cuts.clear()
  }

  isCut (a: string, b: string): boolean {
    return this.cuts.has(`${a}|${b}`)
  }

  /** Bounds what a node can send. */
  setUplink (instance: string, bytesPerSecond: number): void {
    this.uplinks.set(instance, { bytesPerSecond, freeAt: -Infinity, sentBytes: 0 })
  }

  /** Puts bytes on a node's uplink, also such as go elsewhere than to peers; gives the milliseconds until they have left. */
  putOnUplink (instance: string, bytes: number): number {
    const uplink = this.uplinks.get(instance)
    if (!uplink) return 0
    const now = this.opts.clock.readTime()
    uplink.sentBytes += bytes
    uplink.freeAt = Math.max(now, uplink.freeAt) + bytes / uplink.bytesPerSecond * 1000
    return uplink.freeAt - now
  }

  /** Bytes that a node with a bounded uplink has sent. */
  countSentBytes (instance: string): number {
    return this.uplinks.get(instance)?.sentBytes ?? 0
  }

  setDelay (from: string, to: string, ms: number): void {
    this.delays.set(`${from}|${to}`, ms)
  }

  /** Keeps back what goes from one node to another, as a silent cut or a process that does not run does. */
  hold (from: string, to: string): void {
    this.held.push({ from, to, waiting: [] })
  }

  /** Delivers all that was kept back, in its order. */
  releaseAll (): void {
    const held = this.held
    this.held = []
    for (const { waiting } of held) waiting.forEach((deliver) => deliver())
  }

  listOthers (instance: string): string[] {
    return [...this.nodes.keys()].filter((other) => other !== instance && !this.isCut(instance, other))
  }

  /** As PeerNetwork.convertTime does. */
  convertTime (from: string, to: string, theirTime: number): number | undefined {
    const [theirs, own] = [from, to].map((instance) => this.timeOffsets.has(instance) ? this.timeOffsets.get(instance) : 0)
    return theirs === undefined || own === undefined ? undefined : theirTime - theirs + own
  }

  /** Carries one message, or loses it. */
  carry (from: string, to: string, body: unknown, deliver: (node: FakeNetwork) => void): void {
    this.messages++
    const { random, clock } = this.opts
    const sentMs = this.uplinks.has(from) ? this.putOnUplink(from, measureSend(ANY, body)) : 0
    if (random.readFraction() < this.lossShare) return
    const times = random.readFraction() < this.repeatShare ? 2 : 1
    const delayMs = sentMs + (this.delays.get(`${from}|${to}`) ?? 0)
    for (let i = 0; i < times; i++) {
      clock.setTimer(delayMs + random.readFraction() * this.maxDelayMs, () => this.passOn(from, to, deliver))
    }
  }

  private passOn (from: string, to: string, deliver: (node: FakeNetwork) => void): void {
    const held = this.held.find((direction) => direction.from === from && direction.to === to)
    if (held) {
      held.waiting.push(() => this.passOn(from, to, deliver))
      return
    }
    const node = this.nodes.get(to)
    if (node && !this.isCut(from, to)) deliver(node)
  }
}

/** One instance's side of the hub. */
export class FakeNetwork extends PeerNetwork {
  readonly handlers = new Map<string, CallHandler<unknown, unknown>>()
  readonly received = new Subject<{ from: string, channel: string, body: unknown }>()
  readonly events = new Subject<PeerEvent>()

  constructor (private readonly hub: FakeHub, readonly identity: PeerIdentity) {
    super()
  }

  get peerEvents (): Observable<PeerEvent> {
    return this.events
  }

  getClockOffset (): number {
    return 0
  }

  convertTime (instance: string, theirTime: number): number | undefined {
    return this.hub.convertTime(instance, this.identity.instance, theirTime)
  }

  listLinked (): string[] {
    return this.hub.listOthers(this.identity.instance)
  }

  setNeighbours (): void {}

  send<Body> (to: string, channel: Channel<Body>, body: Body): boolean {
    const from = this.identity.instance
    if (!this.hub.findNode(to) || this.hub.isCut(from, to)) return false
    const copy = structuredClone(body)
    this.hub.carry(from, to, body, (node) => node.received.next({ from, channel: channel.name, body: copy }))
    return true
  }

  receive<Body> (channel: Channel<Body>): Observable<Received<Body>> {
    return this.received.pipe(
      filter((it) => it.channel === channel.name),
      map((it) => ({ from: it.from, body: it.body as Body })),
    )
  }

  call<Body, Answer> (to: string, channel: Channel<Body, Answer>, body: Body, timeoutMs: number): Promise<Result<Answer, PulleystackError>> {
    const from = this.identity.instance
    if (!this.hub.findNode(to) || this.hub.isCut(from, to)) {
      return Promise.resolve(err(new PulleystackError('INSTANCE_UNREACHABLE', `${to} cannot be reached`, { ran: Ran.NO })))
    }
    return new Promise((resolve) => {
      const failed = new PulleystackError('INSTANCE_UNREACHABLE', `${to} did not answer`, { ran: Ran.UNKNOWN })
      const cancel = this.hub.opts.clock.setTimer(timeoutMs, () => resolve(err(failed)))
      this.hub.carry(from, to, body, (node) => void node.answer(from, channel.name, structuredClone(body)).then((answer) => {
        this.hub.carry(to, from, answer.isOk() ? answer.value : null, () => {
          cancel()
          resolve(answer as Result<Answer, PulleystackError>)
        })
      }))
    })
  }

  handleCalls<Body, Answer> (channel: Channel<Body, Answer>, handler: CallHandler<Body, Answer>): void {
    this.handlers.set(channel.name, handler as CallHandler<unknown, unknown>)
  }

  private async answer (from: string, channel: string, body: unknown): Promise<Result<unknown, PulleystackError>> {
    try {
      const answer = await this.handlers.get(channel)?.(from, body)
      return ok(structuredClone(answer))
    } catch (thrown) {
      return err(thrown as PulleystackError)
    }
  }
}
