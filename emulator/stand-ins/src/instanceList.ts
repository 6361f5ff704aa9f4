import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { Paths } from '@pulleystack/backend.http'
import { InstanceList, type ListedInstance } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { answerJson, listenLoopback, readWholeBody, type LoopbackServer } from './listenLoopback.js'

interface ListSnapshot {
  at: number
  instances: ListedInstance[]
}

/** The instance list in memory; readers see it as it was `lagMs` ago. */
export class MemoryInstanceList extends InstanceList {
  lagMs: number
  down = false
  private readonly instances = new Map<string, ListedInstance>()
  private snapshots: ListSnapshot[] = []

  constructor (private readonly opts: { clock: Clock, lagMs?: number }) {
    super()
    this.lagMs = opts.lagMs ?? 0
  }

  setInstance (instance: ListedInstance): void {
    this.instances.set(instance.id, instance)
    this.takeSnapshot()
  }

  setLeaving (id: string): void {
    const instance = this.instances.get(id)
    if (instance) this.setInstance({ ...instance, leaving: true })
  }

  removeInstance (id: string): void {
    this.instances.delete(id)
    this.takeSnapshot()
  }

  async listInstances (): Promise<Result<ListedInstance[], PulleystackError>> {
    if (this.down) return err(new PulleystackError('STORE_UNAVAILABLE', 'The instance list is down'))
    const seen = this.opts.clock.readTime() - this.lagMs
    const snapshot = this.snapshots.findLast((it) => it.at <= seen)
    return ok(snapshot?.instances ?? [])
  }

  private takeSnapshot (): void {
    const now = this.opts.clock.readTime()
    this.snapshots.push({ at: now, instances: [...this.instances.values()] })
    const oldest = this.snapshots.findLastIndex((it) => it.at <= now - this.lagMs)
    if (oldest > 0) this.snapshots = this.snapshots.slice(oldest)
  }
}

/** Serves the list; entries can be put and deleted, as the platform would by itself. */
export function serveInstanceList (list: MemoryInstanceList, port = 0): Promise<LoopbackServer> {
  return listenLoopback(async (request, response) => {
    const id = decodeURIComponent((request.url ?? '').slice(Paths.INSTANCES.length + 1))
    if (request.method === 'PUT') list.setInstance(JSON.parse((await readWholeBody(request)).toString()) as ListedInstance)
    if (request.method === 'DELETE') list.removeInstance(id)
    const listed = await list.listInstances()
    if (listed.isOk()) answerJson(response, 200, listed.value)
    else answerJson(response, 503, {})
  }, port)
}
