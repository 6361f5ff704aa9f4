import { formatIncarnation, type ServerIncarnation } from '@pulleystack/routing.fleet'

/** Instances that were denied a slot at a server since they were last told of room there, in the order of their first denial. */
export class DeniedInstances {
  private readonly byServer = new Map<string, Set<string>>()

  add (server: ServerIncarnation, instance: string): void {
    const key = formatIncarnation(server)
    const denied = this.byServer.get(key) ?? new Set()
    this.byServer.set(key, denied.add(instance))
  }

  /** Removes and returns up to `count` instances. */
  take (server: ServerIncarnation, count: number): string[] {
    const denied = this.byServer.get(formatIncarnation(server))
    if (!denied) return []
    const taken = [...denied].slice(0, count)
    for (const instance of taken) denied.delete(instance)
    return taken
  }

  remove (server: ServerIncarnation): void {
    this.byServer.delete(formatIncarnation(server))
  }
}
