import type { Clock } from '@pulleystack/core.clock'
import type { Backend } from '@pulleystack/routing.fleet'

/** Minimum time before a loaded model may be unloaded, so that waiting requests are served. */
const MIN_RESIDENCE_MS = 5_000

/** When models were loaded on servers: by this instance's orders, or found in the servers' entries, as after loads of an earlier holder. */
export class ResidenceTimes {
  /** Monotonic times in milliseconds, by server and model. */
  private readonly loadedAt = new Map<string, Map<string, number>>()
  private readonly foundAt = new Map<string, Map<string, number>>()
  /** Models in the latest entry of each server. */
  private readonly observed = new Map<string, ReadonlySet<string>>()

  constructor (private readonly clock: Clock) {}

  /** Records that a model was loaded just now. */
  record (server: string, model: string): void {
    this.store(this.loadedAt, server, model)
  }

  /** Records the models that are new in a server's entry. The first entry of a server shows nothing new. */
  applyEntry (server: Backend): void {
    const known = this.observed.get(server.id)
    const models = new Set((server.entry.models ?? []).map((model) => model.name))
    this.observed.set(server.id, models)
    if (!known) return
    for (const model of models) {
      if (!known.has(model) && !this.listRecent(server.id).includes(model)) this.store(this.foundAt, server.id, model)
    }
  }

  /** Models that were loaded too recently to be unloaded. */
  listRecent (server: string, includesFound = false): string[] {
    const now = this.clock.readTime()
    const times = [...this.loadedAt.get(server) ?? [], ...includesFound ? this.foundAt.get(server) ?? [] : []]
    return times.filter(([, at]) => at > now - MIN_RESIDENCE_MS).map(([model]) => model)
  }

  remove (server: string): void {
    this.loadedAt.delete(server)
    this.foundAt.delete(server)
    this.observed.delete(server)
  }

  private store (times: Map<string, Map<string, number>>, server: string, model: string): void {
    const models = times.get(server) ?? new Map<string, number>()
    models.set(model, this.clock.readTime())
    times.set(server, models)
  }
}
