import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { FakeHub } from '@pulleystack/membership.fake-network'
import { RetryBudgets } from '../src/index.js'

export const SERVICE = 's'
export const BOUNDS = { ratio: 0.2, extra: 56, windowMs: 10_000 }
/** An instance that was killed is back after so long. */
const RESTART_MS = 500
/** Those that serve have links to each other after so long. */
const LINK_MS = 300

/** One life of one instance. */
interface Life {
  budgets: RetryBudgets
  startedAt: number
  isFirst: boolean
}

/** Several instances that draw on one budget, and whose lives end and begin. */
export class BudgetBench {
  readonly clock = new ManualClock()
  /** When clients' requests came, and when further attempts were made. */
  readonly requests: number[] = []
  readonly attempts: number[] = []
  /** Further attempts that were asked for and denied. */
  denied = 0
  readonly hub = new FakeHub({ clock: this.clock, random: new RandomSource(3) })
  private readonly lives = new Map<string, Life>()

  constructor (private readonly names: readonly string[], isFirstStart = true) {
    for (const name of names) this.begin(name, isFirstStart)
  }

  /** A request of a client comes to an instance; when it fails, a further attempt is asked for a moment later. */
  async request (name: string, isFailing: boolean): Promise<void> {
    const life = this.lives.get(name)
    if (!life) return
    life.budgets.noteRequest(SERVICE)
    this.requests.push(this.clock.readTime())
    if (!isFailing) return
    await this.clock.advance(10)
    if (this.lives.get(name) !== life) return
    if (life.budgets.find(SERVICE).take()) this.attempts.push(this.clock.readTime())
    else this.denied++
  }

  /** As `request`, without the moment between the failure and the further attempt. */
  requestAtOnce (name: string, isFailing: boolean): void {
    const life = this.lives.get(name)
    if (!life) return
    life.budgets.noteRequest(SERVICE)
    this.requests.push(this.clock.readTime())
    if (!isFailing) return
    if (life.budgets.find(SERVICE).take()) this.attempts.push(this.clock.readTime())
    else this.denied++
  }

  /** Instances that run. */
  listLiving (): string[] {
    return this.names.filter((name) => this.lives.has(name))
  }

  /** Ends a life at once; the next one begins a moment later. */
  restart (name: string): void {
    if (!this.lives.delete(name)) return
    this.hub.removeNode(name)
    this.clock.setTimer(RESTART_MS, () => this.begin(name, false))
  }

  /** The most that a window holds beyond what it allows; requests count as in the window or in the ones before that the bound is told to look at. */
  measureExcess (): number {
    const { ratio, extra, windowMs } = BOUNDS
    const countIn = (times: readonly number[], from: number): number => times.filter((at) => at >= from && at < from + windowMs).length
    const excesses = this.attempts.map((from) => {
      const requests = Math.max(...[0, windowMs / 2, windowMs].map((earlier) => countIn(this.requests, from - earlier)))
      return countIn(this.attempts, from) - ratio * requests - extra
    })
    return Math.max(-Infinity, ...excesses)
  }

  private begin (instance: string, isFirst: boolean): void {
    const network = this.hub.createNode({ instance, incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const startedAt = this.clock.readTime()
    const standing = {
      countInstances: () => this.names.length,
      readSharingMs: () => isFirst ? Infinity : this.clock.readTime() - startedAt,
      readLifeMs: () => isFirst ? Infinity : this.clock.readTime() - startedAt,
      listPeers: () => isFirst || this.clock.readTime() - startedAt > LINK_MS ? network.listLinked() : [],
    }
    this.lives.set(instance, { budgets: new RetryBudgets({ clock: this.clock, network, standing, ...BOUNDS }), startedAt, isFirst })
  }
}
