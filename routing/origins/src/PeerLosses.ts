import type { Clock } from '@pulleystack/core.clock'
import type { PeerIdentity, PeerNetwork } from '@pulleystack/membership.peers'

/** When peers were lost, by their links. Times are monotonic and in milliseconds. */
export class PeerLosses {
  /** The key of each peer's process run. */
  private readonly heard = new Map<string, string | undefined>()
  private readonly missing = new Set<string>()
  private lossTime = -Infinity
  private silenceTime = -Infinity

  constructor (private readonly clock: Clock) {}

  /** When a peer that had been lost was last missing. */
  get lastLossAt (): number {
    return this.lossTime
  }

  /** When the last loss of a peer began: from when on it was not heard. */
  get lastSilentAt (): number {
    return this.silenceTime
  }

  start (network: PeerNetwork, signal: AbortSignal): void {
    const subscription = network.peerEvents.subscribe((event) => {
      const silentSince = event.kind === 'closed' ? undefined : event.silentSince
      if (event.kind === 'heard') this.recordHeard(event.identity, silentSince)
      else this.recordLost(event.instance, silentSince)
    })
    signal.addEventListener('abort', () => subscription.unsubscribe(), { once: true })
  }

  /** Must be called again and again while an instance may be missing. */
  extend (): void {
    if (this.missing.size > 0) this.lossTime = this.clock.readTime()
  }

  private recordHeard ({ instance, forwardKey }: PeerIdentity, silentSince: number | undefined): void {
    // The link to a peer's next process may open before the loss of the former one is noticed.
    if (this.heard.has(instance) && this.heard.get(instance) !== forwardKey) this.recordLost(instance, silentSince)
    if (this.missing.delete(instance)) this.lossTime = this.clock.readTime()
    this.heard.set(instance, forwardKey)
  }

  private recordLost (instance: string, silentSince: number | undefined): void {
    if (!this.heard.delete(instance)) return
    this.missing.add(instance)
    this.lossTime = this.clock.readTime()
    this.silenceTime = Math.max(this.silenceTime, silentSince ?? this.lossTime)
  }
}
