import type { Clock, RandomSource } from '@pulleystack/core.clock'
import type { Backend, BackendFleet } from '@pulleystack/routing.fleet'
import type { ServerProbe } from '@pulleystack/routing.forward'

/** Servers that are probed at once. */
const PROBED_SERVERS = 3
/** Time for which an outcome is used again. */
const REUSE_MS = 100

export interface ControlProbeOptions {
  clock: Clock
  random: RandomSource
  fleet: BackendFleet
  probe: ServerProbe
}

/** Finds out whether this instance reaches any server besides one that it can't reach. */
export class ControlProbe {
  private latest: { at: number, outcome: Promise<boolean> } | undefined

  constructor (private readonly opts: ControlProbeOptions) {}

  /** Whether another server is reached now; true if there is no other to compare with. */
  async canReachOther (backend: Backend): Promise<boolean> {
    const others = this.opts.fleet.listAll().filter((other) => other !== backend && !other.entry.draining)
    if (others.length === 0) return true
    const now = this.opts.clock.readTime()
    if (this.latest && now - this.latest.at < REUSE_MS) return this.latest.outcome
    const outcome = this.probeSome(others)
    this.latest = { at: now, outcome }
    return outcome
  }

  /** Probes a few servers, those that were reached last first, one of each data hall before a second one. */
  private async probeSome (servers: readonly Backend[]): Promise<boolean> {
    const outcomes = await Promise.all(this.chooseServers(servers).map(async (server) => {
      if (await this.opts.probe.isDown(server.entry.address)) return false
      this.opts.fleet.recordReached(server, this.opts.clock.readTime())
      return true
    }))
    return outcomes.includes(true)
  }

  private chooseServers (servers: readonly Backend[]): Backend[] {
    const shuffled = servers.map((server) => ({ server, at: this.opts.random.readFraction() })).sort((a, b) => a.at - b.at).map(({ server }) => server)
    const ranked = [...shuffled.filter(({ path }) => path.verdict === undefined), ...shuffled.filter(({ path }) => path.verdict !== undefined)]
    const firstOfHall = ranked.filter(({ entry }, at) => ranked.findIndex((other) => other.entry.dataHall === entry.dataHall) === at)
    return [...new Set([...firstOfHall, ...ranked])].slice(0, PROBED_SERVERS)
  }
}
