import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'
import type { Observable } from 'rxjs'
import type { Channel } from './Channel.js'

/** How an instance identifies itself to a peer. */
export interface PeerIdentity {
  instance: string
  /** Increased when the instance refutes a suspicion. */
  incarnation: number
  /** Address for callers. */
  address: string
  peerAddress: string
  region: string
  dataHall: string
  leaving: boolean
  /** On standby: serves no clients and is only informed which instances do. */
  standby?: boolean
  /** Processor cores available to the instance. */
  capacity?: number
  /** Key by which other instances prove that they forward a request to this one; changes with each process run. */
  forwardKey?: string
}

export interface Received<Body> {
  from: string
  body: Body
}

/** An event of a link to a peer. */
export type PeerEvent =
  /** The peer is alive. With a new link, messages sent over an earlier one may have been lost; `silentSince` is that of the earlier one. */
  | { kind: 'heard', identity: PeerIdentity, isNewLink?: boolean, silentSince?: number }
  /** The heartbeat timeout passed, or dialling the peer failed. `silentSince` is the monotonic time in milliseconds by which a heartbeat was overdue. */
  | { kind: 'silent', instance: string, silentSince?: number }
  /** The link closed and will not be reopened, so the state of the peer is unknown from now on. */
  | { kind: 'closed', instance: string }

export type CallHandler<Body, Answer> = (from: string, body: Body) => Promise<Answer> | Answer

/** Messages between entry instances. Sends may be lost without an error; calls answer or fail within their timeout. */
export abstract class PeerNetwork {
  /** Lists the peers with an open link. */
  abstract listLinked (): string[]
  /** Sends over an open link. Without one, returns false and starts to open one for later messages. */
  abstract send<Body> (to: string, channel: Channel<Body>, body: Body): boolean
  abstract receive<Body> (channel: Channel<Body>): Observable<Received<Body>>
  /** Calls a peer, opening a link if needed. The error's `ran` tells whether the peer may have run the call. */
  abstract call<Body, Answer> (to: string, channel: Channel<Body, Answer>, body: Body, timeoutMs: number): Promise<Result<Answer, PulleystackError>>
  abstract handleCalls<Body, Answer> (channel: Channel<Body, Answer>, handler: CallHandler<Body, Answer>): void
  /** Sets the peers to keep links to. */
  abstract setNeighbours (peers: readonly { instance: string, peerAddress: string }[]): void
  abstract get peerEvents (): Observable<PeerEvent>
  /** Milliseconds by which a peer's wall clock is ahead of the own one; 0 when unknown. */
  abstract getClockOffset (instance: string): number
  /**
   * Converts a peer's monotonic time to the latest own monotonic time that is guaranteed not to be after it; undefined while the
   * peer's clock is unknown.
   */
  abstract convertTime (instance: string, peerTime: number): number | undefined

  /** Returns how many peers a broadcast reaches. */
  countBroadcastPeers (): number {
    return this.listLinked().length
  }

  /** Sends to all linked peers except one; returns false when any link did not accept the message. */
  broadcast<Body> (channel: Channel<Body>, body: Body, except?: string): boolean {
    const results = this.listLinked().filter((peer) => peer !== except).map((peer) => this.send(peer, channel, body))
    return results.every((isSent) => isSent)
  }
}
