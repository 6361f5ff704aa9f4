import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { PeerNetwork, defineChannel, measureSend, type CallHandler, type Channel, type PeerEvent, type PeerIdentity, type Received } from '@pulleystack/membership.peers'
import { err, ok, type Result } from 'neverthrow'
import { filter, map, Subject, type Observable } from 'rxjs'

/** Used to measure messages, to whose size the channel name adds little. */
const SAMPLE_CHANNEL = defineChannel<unknown>('any')

/** A node's outgoing bandwidth, shared by all its messages. */
interface Uplink {
  bytesPerSecond: number
  /** Monotonic time in ms at which everything sent so far has been transmitted. */
  idleAt: number
  sentBytes: number
}

/** A route on which messages are held back. */
interface HeldRoute {
  from: string
  to: string
  pending: (() => void)[]
}

/** Delivers the messages between the fake networks of a test. */
export class FakeHub {
  /** Probabilities that a message is lost or duplicated, from 0 to 1. */
  lossProbability = 0
  duplicateProbability = 0
  /** Maximum random delay per message, which also reorders messages. */
  maxDelayMs = 0
  messageCount = 0
  private readonly nodes = new Map<string, FakeNetwork>()
  private readonly partitions = new Set<string>()
  private readonly uplinks = new Map<string, Uplink>()
  /** Additional delays per route in milliseconds. */
  private readonly delays = new Map<string, number>()
  private heldRoutes: HeldRoute[] = []
  /** Milliseconds by which nodes' monotonic clocks are ahead of the common one; undefined for clocks unknown to peers. */
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
    this.partitions.add(`${a}|${b}`).add(`${b}|${a}`)
  }

  clearPartitions (): void {
    this.partitions.clear()
  }

  isCut (a: string, b: string): boolean {
    return this.partitions.has(`${a}|${b}`)
  }

  /** Limits a node's outgoing bandwidth. */
  setUplink (instance: string, bytesPerSecond: number): void {
    this.uplinks.set(instance, { bytesPerSecond, idleAt: -Infinity, sentBytes: 0 })
  }

  /** Adds traffic to a node's uplink, not only to peers; returns the milliseconds until it has been transmitted. */
  sendOnUplink (instance: string, bytes: number): number {
    const uplink = this.uplinks.get(instance)
    if (!uplink) return 0
    const now = this.opts.clock.readTime()
    uplink.sentBytes += bytes
    uplink.idleAt = Math.max(now, uplink.idleAt) + bytes / uplink.bytesPerSecond * 1000
    return uplink.idleAt - now
  }

  /** Returns the bytes sent by a node with a limited uplink. */
  countSentBytes (instance: string): number {
    return this.uplinks.get(instance)?.sentBytes ?? 0
  }

  setDelay (from: string, to: string, ms: number): void {
    this.delays.set(`${from}|${to}`, ms)
  }

  /** Holds back messages from one node to another, as a partition or a suspended process does. */
  hold (from: string, to: string): void {
    this.heldRoutes.push({ from, to, pending: [] })
  }

  /** Delivers all messages held back, in order. */
  releaseAll (): void {
    const heldRoutes = this.heldRoutes
    this.heldRoutes = []
    for (const { pending } of heldRoutes) pending.forEach((deliver) => deliver())
  }

  listOthers (instance: string): string[] {
    return [...this.nodes.keys()].filter((other) => other !== instance && !this.isCut(instance, other))
  }

  /** See `PeerNetwork.convertTime`. */
  convertTime (from: string, to: string, peerTime: number): number | undefined {
    const [peerOffset, ownOffset] = [from, to].map((instance) => this.timeOffsets.has(instance) ? this.timeOffsets.get(instance) : 0)
    return peerOffset === undefined || ownOffset === undefined ? undefined : peerTime - peerOffset + ownOffset
  }

  /** Sends a message, subject to the configured faults. */
  sendMessage (from: string, to: string, body: unknown, deliver: (node: FakeNetwork) => void): void {
    this.messageCount++
    const { random, clock } = this.opts
    const sentMs = this.uplinks.has(from) ? this.sendOnUplink(from, measureSend(SAMPLE_CHANNEL, body)) : 0
    if (random.readFraction() < this.lossProbability) return
    const copies = random.readFraction() < this.duplicateProbability ? 2 : 1
    const delayMs = sentMs + (this.delays.get(`${from}|${to}`) ?? 0)
    for (let i = 0; i < copies; i++) {
      clock.setTimer(delayMs + random.readFraction() * this.maxDelayMs, () => this.handleArrival(from, to, deliver))
    }
  }

  private handleArrival (from: string, to: string, deliver: (node: FakeNetwork) => void): void {
    const heldRoute = this.heldRoutes.find((route) => route.from === from && route.to === to)
    if (heldRoute) {
      heldRoute.pending.push(() => this.handleArrival(from, to, deliver))
      return
    }
    const node = this.nodes.get(to)
    if (node && !this.isCut(from, to)) deliver(node)
  }
}

/** The network of one instance, connected to the hub. */
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

  convertTime (instance: string, peerTime: number): number | undefined {
    return this.hub.convertTime(instance, this.identity.instance, peerTime)
  }

  listLinked (): string[] {
    return this.hub.listOthers(this.identity.instance)
  }

  setNeighbours (): void {}

  send<Body> (to: string, channel: Channel<Body>, body: Body): boolean {
    const from = this.identity.instance
    if (!this.hub.findNode(to) || this.hub.isCut(from, to)) return false
    const copy = structuredClone(body)
    this.hub.sendMessage(from, to, body, (node) => node.received.next({ from, channel: channel.name, body: copy }))
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
      const timeoutError = new PulleystackError('INSTANCE_UNREACHABLE', `${to} did not answer`, { ran: Ran.UNKNOWN })
      const cancel = this.hub.opts.clock.setTimer(timeoutMs, () => resolve(err(timeoutError)))
      this.hub.sendMessage(from, to, body, (node) => void node.answer(from, channel.name, structuredClone(body)).then((answer) => {
        this.hub.sendMessage(to, from, answer.isOk() ? answer.value : null, () => {
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
