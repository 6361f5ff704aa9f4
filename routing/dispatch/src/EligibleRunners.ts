import { Kinds } from '@pulleystack/config.objects'
import type { ConfigIndex, ConfigReplica } from '@pulleystack/config.replica'
import { matchLabels } from '@pulleystack/config.selectors'
import type { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles } from '@pulleystack/backend.interfaces'
import type { Runner, RunnerTable } from '@pulleystack/routing.runners'

/** The backend servers that each service's selectors allow. The lists are rebuilt when servers or configuration change. */
export class EligibleRunners {
  private readonly cache = new Map<string, Runner[]>()

  constructor (private readonly opts: { index: ConfigIndex, replica: ConfigReplica, table: RunnerTable, view: MembershipView }) {
    opts.replica.changes.subscribe(() => this.cache.clear())
    opts.view.serverChanges.subscribe(() => this.cache.clear())
  }

  /** Lists the allowed servers that are not draining. */
  list (partner: string, service: string): readonly Runner[] {
    const key = `${partner}/${service}`
    const cached = this.cache.get(key)
    if (cached) return cached
    const runners = this.select(partner, service)
    this.cache.set(key, runners)
    return runners
  }

  private select (partner: string, service: string): Runner[] {
    const spec = this.opts.index.findObject(Kinds.SERVICE, partner, service)?.spec
    if (!spec) return []
    const role = spec.type === 'model' ? InstanceRoles.ENGINE : InstanceRoles.PLAIN
    return [...this.opts.table.listRunners()].filter((runner) => {
      const { server } = runner
      if (server.role !== role || server.leaving) return false
      if (role === InstanceRoles.PLAIN && !server.services?.includes(`${partner}/${service}`)) return false
      if (spec.dataHalls && !spec.dataHalls.includes(server.dataHall)) return false
      return matchLabels(spec.backendServers, this.opts.index.readServerLabels(partner, server.id, server.labels))
    })
  }
}
