import type { CapacityAllocation } from './CapacityAllocation.js'
import type { ModelDemand } from './DemandTracker.js'
import type { ServerPaces } from './ServerPaces.js'

/** Requests per second from which a model needs a copy on a server that is not slow. */
const HOT_RATE = 1
/** Share of requests assumed late when all copies are on slow servers. */
const SLOW_LATE_SHARE = 0.15

/** Finds hot models whose copies are on slow servers only. */
export class SlowCopies {
  constructor (
    private readonly allocation: CapacityAllocation,
    private readonly paces: ServerPaces,
    private readonly readDemand: (model: string) => ModelDemand,
  ) {}

  /** Requests per second assumed late because all copies, without the one on `exceptServer`, are on slow servers. */
  computeLate (model: string, exceptServer?: string): number {
    const { requestsPerSecond } = this.readDemand(model)
    if (requestsPerSecond < HOT_RATE) return 0
    const servers = this.allocation.listCopies(model).map((copy) => copy.server).filter((server) => server !== exceptServer)
    return servers.length > 0 && servers.every((server) => this.paces.isSlow(server)) ? requestsPerSecond * SLOW_LATE_SHARE : 0
  }

  /** Requests per second that become late when a copy is unloaded. */
  computeLoss (model: string, server: string): number {
    return Math.max(0, this.computeLate(model, server) - this.computeLate(model))
  }
}
