import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { Paths } from '@pulleystack/backend.http'
import { InstanceList, type ListedInstance } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { answerJson, listenLoopback, readWholeBody, type LoopbackServer } from './listenLoopback.js'

interface ListSnapshot {
  takenAt: number
  instances: ListedInstance[]
}

/** In-memory instance list. Readers see the state of `lagMs` milliseconds ago. */
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
    const visibleUntil = this.opts.clock.readTime() - this.lagMs
    const snapshot = this.snapshots.findLast((it) => it.takenAt <= visibleUntil)
    return ok(snapshot?.instances ?? [])
  }

  private takeSnapshot (): void {
    const now = this.opts.clock.readTime()
    this.snapshots.push({ takenAt: now, instances: [...this.instances.values()] })
    const oldest = this.snapshots.findLastIndex((it) => it.takenAt <= now - this.lagMs)
    if (oldest > 0) this.snapshots = this.snapshots.slice(oldest)
  }
}

/** Serves the list over HTTP. PUT and DELETE requests change entries, which the platform would do itself. */
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
