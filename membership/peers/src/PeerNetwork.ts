import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'
import type { Observable } from 'rxjs'
import type { Channel } from './Channel.js'

/** How an instance introduces itself to a peer. */
export interface PeerIdentity {
  instance: string
  /** Grows when the instance contradicts a suspicion. */
  incarnation: number
  /** Address for callers. */
  address: string
  peerAddress: string
  region: string
  dataHall: string
  leaving: boolean
  /** It serves nobody for now and is told only who does. */
  standby?: boolean
  /** Processor cores that it may use. */
  capacity?: number
}

export interface Received<Body> {
  from: string
  body: Body
}

/** What the links tell about peers. */
export type PeerEvent =
  /** It lives. With a new link, what was sent to it on an earlier one may be lost. */
  | { kind: 'heard', identity: PeerIdentity, isNewLink?: boolean }
  /** Nothing was heard of it for too long, or it was dialled in vain. */
  | { kind: 'silent', instance: string }
  /** Its link ended, and nobody looks after it: nothing more is heard of it, whether it lives or not. */
  | { kind: 'closed', instance: string }

export type CallHandler<Body, Answer> = (from: string, body: Body) => Promise<Answer> | Answer

/** Messages between entry instances. Sends may be lost without a word; calls answer or fail in time. */
export abstract class PeerNetwork {
  /** Peers with an open link. */
  abstract listLinked (): string[]
  /** Sends when a link is open; when not, begins to open one for the next time and gives false. */
  abstract send<Body> (to: string, channel: Channel<Body>, body: Body): boolean
  abstract receive<Body> (channel: Channel<Body>): Observable<Received<Body>>
  /** Asks one peer, opening a link where needed. The error's `ran` tells whether the peer may have acted. */
  abstract call<Body, Answer> (to: string, channel: Channel<Body, Answer>, body: Body, timeoutMs: number): Promise<Result<Answer, PulleystackError>>
  abstract handleCalls<Body, Answer> (channel: Channel<Body, Answer>, handler: CallHandler<Body, Answer>): void
  /** Links that should stay open. */
  abstract setNeighbours (peers: readonly { instance: string, peerAddress: string }[]): void
  abstract get peerEvents (): Observable<PeerEvent>
  /** Milliseconds by which a peer's wall clock is ahead of ours; 0 when not known. */
  abstract getClockOffset (instance: string): number
  /**
   * The latest time of the own monotone clock that surely is not after a time of a peer's; undefined while too little was
   * heard of that peer's clock.
   */
  abstract convertTime (instance: string, theirTime: number): number | undefined

  /** How many peers a broadcast goes to. */
  countReached (): number {
    return this.listLinked().length
  }

  /** Sends to every linked peer but one; false when a link did not take it. */
  broadcast<Body> (channel: Channel<Body>, body: Body, except?: string): boolean {
    const sent = this.listLinked().filter((peer) => peer !== except).map((peer) => this.send(peer, channel, body))
    return sent.every((isTaken) => isTaken)
  }
}
