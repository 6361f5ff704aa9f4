import type { ListedInstance } from '@pulleystack/backend.interfaces'
import { Subject, type Observable } from 'rxjs'
import { Runner } from './Runner.js'
import type { RunnerUpdate } from './RunnerUpdate.js'

/** The backend servers that this instance may send work to. */
export class RunnerTable {
  private readonly runners = new Map<string, Runner>()
  private readonly early = new Map<string, RunnerUpdate>()
  private readonly changed = new Subject<Runner>()

  /** Every report taken; waiting work may be able to run. */
  get changes (): Observable<Runner> {
    return this.changed
  }

  /** Takes the servers of the instance list; state of those that stay is kept. */
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
      // The collector's list may be ahead of ours.
      this.early.set(update.server, update)
      return
    }
    if (runner.applyUpdate(update, now)) this.changed.next(runner)
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
    const present = this.runners.get(server.id)
    if (present && present.server.address === server.address) {
      present.server = server
      return
    }
    this.runners.set(server.id, new Runner(server))
    const update = this.early.get(server.id)
    this.early.delete(server.id)
    if (update) this.applyUpdate(update, now)
  }
}
