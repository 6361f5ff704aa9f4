import type { ListedInstance } from '@pulleystack/backend.interfaces'
import { Subject, type Observable } from 'rxjs'
import { Runner } from './Runner.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

/** The backend servers to which this instance may send requests. */
export class RunnerTable {
  private readonly runners = new Map<string, Runner>()
  private readonly earlyUpdates = new Map<string, RunnerUpdate>()
  private readonly updatedRunners = new Subject<Runner>()

  /** Emits a runner after each accepted report, when queued requests may be able to run. */
  get changes (): Observable<Runner> {
    return this.updatedRunners
  }

  /** Replaces the set of servers, keeping the state of those already known at the same address. */
  applyServers (servers: readonly ListedInstance[], now: number): void {
    const ids = new Set(servers.map((server) => server.id))
    for (const id of this.runners.keys()) {
      if (!ids.has(id)) this.runners.delete(id)
    }
    for (const server of servers) this.applyServer(server, now)
  }

  applyUpdate (update: RunnerUpdate, now: number): void {
    const runner = this.runners.get(update.server)
    if (!runner) {
      // The collector may learn of a server before this instance does.
      this.earlyUpdates.set(update.server, update)
      return
    }
    if (runner.applyUpdate(update, now)) this.updatedRunners.next(runner)
  }

  findRunner (id: string): Runner | undefined {
    return this.runners.get(id)
  }

  listRunners (): Iterable<Runner> {
    return this.runners.values()
  }

  get size (): number {
    return this.runners.size
  }

  private applyServer (server: ListedInstance, now: number): void {
    const existing = this.runners.get(server.id)
    if (existing && existing.server.address === server.address) {
      existing.server = server
      return
    }
    this.runners.set(server.id, new Runner(server))
    const update = this.earlyUpdates.get(server.id)
    this.earlyUpdates.delete(server.id)
    if (update) this.applyUpdate(update, now)
  }
}
