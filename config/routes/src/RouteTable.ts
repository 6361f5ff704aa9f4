import type { RandomSource } from '@pulleystack/core.clock'
import { hashAccessKey } from '@pulleystack/core.hashing'
import type { Route, RoutedService, RoutingConfig } from './Route.js'
import type { Team } from './Team.js'

/** Finds routes, services and teams in one version of the configuration. */
export class RouteTable {
  private readonly routesByHost = new Map<string, Route[]>()
  private readonly services = new Map<string, RoutedService>()
  /** Indexed by hash, so that the time of a lookup reveals nothing about a key. */
  private readonly teamsByKeyHash = new Map<string, Team>()
  private readonly teams = new Map<string, Team>()

  constructor (readonly config: RoutingConfig) {
    for (const route of config.routes) {
      const routes = this.routesByHost.get(route.host) ?? []
      routes.push(route)
      this.routesByHost.set(route.host, routes)
    }
    for (const routes of this.routesByHost.values()) routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)
    for (const service of config.services) this.services.set(service.name, service)
    for (const team of config.teams ?? []) {
      this.teams.set(team.name, team)
      for (const hash of team.keyHashes) this.teamsByKeyHash.set(hash, team)
    }
  }

  /** Finds the route with the longest matching path prefix; `host` may include a port. */
  findRoute (host: string, path: string): Route | undefined {
    const routes = this.routesByHost.get(stripPort(host).toLowerCase())
    return routes?.find((route) => path.startsWith(route.pathPrefix))
  }

  /** Whether callers must present a team's access key. */
  get hasTeams (): boolean {
    return this.config.teams !== undefined
  }

  findTeam (name: string): Team | undefined {
    return this.teams.get(name)
  }

  findTeamByKey (key: string): Team | undefined {
    return this.teamsByKeyHash.get(hashAccessKey(key))
  }

  findService (name: string): RoutedService | undefined {
    return this.services.get(name)
  }
}

/** Chooses the service for a request at random, by the weights of the route's targets. */
export function chooseTarget (route: Route, random: RandomSource): string {
  const [single] = route.targets
  if (route.targets.length === 1 && single) return single.service
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0)
  let remaining = random.readFraction() * total
  for (const target of route.targets) {
    remaining -= target.weight
    if (remaining < 0) return target.service
  }
  return route.targets.at(-1)?.service ?? ''
}

/** Removes the port of a Host header. */
export function stripPort (host: string): string {
  const colon = host.lastIndexOf(':')
  return colon > host.lastIndexOf(']') ? host.slice(0, colon) : host
}
