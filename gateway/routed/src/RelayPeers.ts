import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { OutlierDetector, listUsable, type Ejectable } from '@pulleystack/routing.retries'

/** A serving instance. */
export interface RelayTarget {
  instance: string
  /** host:port for client connections. */
  address: string
  /** Proves to that instance that a request comes from another one; one of an older version has none. */
  forwardKey?: string
  /** Processor cores; 1 if it does not say. */
  capacity?: number
}

/** A peer whose connections are established but stay silent costs each request its whole time. */
const SILENCES_TO_EJECTION = 2
const BASE_EJECTION_MS = 500
/** Records of peers that are no longer listed are dropped beyond this number. */
const MAX_PEERS = 64

/** What this instance has learnt of a peer from the requests that it relayed. */
class Peer implements Ejectable {
  inFlight = 0
  readonly outlier = new OutlierDetector({ failures: SILENCES_TO_EJECTION, baseEjectionMs: BASE_EJECTION_MS })

  isSilent (): boolean {
    return false
  }
}

export interface RelayPeersOptions {
  clock: Clock
  random: RandomSource
  /** Lists serving instances with a live link. */
  listTargets: () => readonly RelayTarget[]
}

/**
 * Orders the serving instances to which a request may be relayed: of two chosen at random, the one with fewer requests of this instance for its capacity;
 * those that let requests run out of time come last for a while. Load and silence are those that this instance sees.
 */
export class RelayPeers {
  private readonly peers = new Map<string, Peer>()

  constructor (private readonly opts: RelayPeersOptions) {}

  /** Whether no serving instance is linked now. */
  get isEmpty (): boolean {
    return this.opts.listTargets().length === 0
  }

  /** Lists the targets in the order in which they should be tried. */
  list (): RelayTarget[] {
    const targets = this.rankRandomly(this.opts.listTargets())
    const peers = targets.map((target) => ({ target, peer: this.findPeer(target.instance) }))
    const usable = new Set(listUsable(peers.map(({ peer }) => peer), this.opts.clock.readTime()))
    const ordered = [...peers.filter(({ peer }) => usable.has(peer)), ...peers.filter(({ peer }) => !usable.has(peer))].map(({ target }) => target)
    const [first, second] = ordered
    if (!first || !second || !usable.has(this.findPeer(second.instance)) || this.computeLoad(first) <= this.computeLoad(second)) return ordered
    return [second, first, ...ordered.slice(2)]
  }

  /** Records that a request is sent; the returned function records its end. */
  recordSent ({ instance }: RelayTarget): () => void {
    const peer = this.findPeer(instance)
    peer.inFlight++
    return () => {
      peer.inFlight--
    }
  }

  /** Records that the instance answered. */
  recordAnswer ({ instance }: RelayTarget): void {
    this.findPeer(instance).outlier.recordSuccess()
  }

  /** Records that the time of a request ran out, or its connection failed, before the instance answered; returns true if it comes last from now on. */
  recordSilence ({ instance }: RelayTarget): boolean {
    const { clock, random } = this.opts
    return this.findPeer(instance).outlier.recordFailure(clock.readTime(), random.readFraction())
  }

  private computeLoad ({ instance, capacity = 1 }: RelayTarget): number {
    return (this.findPeer(instance).inFlight + 1) / capacity
  }

  private findPeer (instance: string): Peer {
    const known = this.peers.get(instance)
    if (known) return known
    const peer = new Peer()
    this.peers.set(instance, peer)
    if (this.peers.size > MAX_PEERS) this.dropUnlisted()
    return peer
  }

  private dropUnlisted (): void {
    const listed = new Set(this.opts.listTargets().map(({ instance }) => instance))
    for (const [instance, { inFlight }] of this.peers) if (!listed.has(instance) && inFlight === 0) this.peers.delete(instance)
  }

  private rankRandomly (targets: readonly RelayTarget[]): RelayTarget[] {
    return targets.map((target) => ({ target, order: this.opts.random.readFraction() })).sort((a, b) => a.order - b.order).map(({ target }) => target)
  }
}
