import type { Route, RoutingConfig } from './Route.js'
import { stripPort } from './RouteTable.js'

/** Time limits of the routes of one host, in milliseconds. */
export interface HostTimeouts {
  host: string
  /** Limit of all paths that no exception matches. */
  defaultMs: number
  /** Path prefixes, the longest of which applies. */
  exceptions: ReadonlyArray<readonly [pathPrefix: string, timeoutMs: number]>
}

/** Time limits of all routes in one version of the configuration, without the routes themselves. */
export interface TimeoutTable {
  /** Configuration version. */
  version: number
  hosts: readonly HostTimeouts[]
}

/** Finds the time limit of a request's route, for instances that have no configuration. */
export class RouteTimeouts {
  private readonly hosts: ReadonlyMap<string, HostTimeouts>

  constructor (readonly table: TimeoutTable) {
    const entries = table.hosts.map(({ host, defaultMs, exceptions }) => [host, { host, defaultMs, exceptions: listLongestFirst(exceptions) }] as const)
    this.hosts = new Map(entries)
  }

  /** Finds the limit in milliseconds for a host, which may include a port, and a path; undefined if the host has no routes. */
  find (host: string, path: string): number | undefined {
    const timeouts = this.hosts.get(stripPort(host).toLowerCase())
    return timeouts && findTimeout(timeouts, path)
  }
}

/** Extracts the time limits; most routes of a host share one, so that few are listed. */
export function buildTimeoutTable ({ version, routes }: RoutingConfig): TimeoutTable {
  const hosts = [...new Set(routes.map(({ host }) => host))]
  return { version, hosts: hosts.map((host) => buildHostTimeouts(host, routes.filter((route) => route.host === host))) }
}

/** Reads a table that another instance has sent; undefined if it has another form, as of another release. */
export function parseTimeoutTable (value: unknown): TimeoutTable | undefined {
  const { version, hosts } = (value ?? {}) as Partial<Record<keyof TimeoutTable, unknown>>
  if (typeof version !== 'number' || Number.isNaN(version) || !Array.isArray(hosts) || !hosts.every(isHostTimeouts)) return undefined
  return { version, hosts }
}

function isHostTimeouts (value: unknown): value is HostTimeouts {
  const { host, defaultMs, exceptions } = (value ?? {}) as Partial<Record<keyof HostTimeouts, unknown>>
  return typeof host === 'string' && isLimit(defaultMs) && Array.isArray(exceptions) && exceptions.every(isException)
}

function isException (value: unknown): boolean {
  return Array.isArray(value) && typeof value[0] === 'string' && isLimit(value[1])
}

function isLimit (value: unknown): boolean {
  return typeof value === 'number' && value >= 0
}

function buildHostTimeouts (host: string, routes: readonly Route[]): HostTimeouts {
  const exceptions: Array<[string, number]> = []
  const timeouts = { host, defaultMs: findMostCommon(routes.map(({ timeoutMs }) => timeoutMs)), exceptions }
  // A longer prefix is listed only where the shorter ones give it another limit.
  for (const { pathPrefix, timeoutMs } of [...routes].sort((a, b) => a.pathPrefix.length - b.pathPrefix.length)) {
    if (findTimeout(timeouts, pathPrefix) !== timeoutMs) exceptions.unshift([pathPrefix, timeoutMs])
  }
  return timeouts
}

function findTimeout ({ defaultMs, exceptions }: HostTimeouts, path: string): number {
  return exceptions.find(([pathPrefix]) => path.startsWith(pathPrefix))?.[1] ?? defaultMs
}

function listLongestFirst (exceptions: HostTimeouts['exceptions']): HostTimeouts['exceptions'] {
  return [...exceptions].sort(([a], [b]) => b.length - a.length)
}

function findMostCommon (values: readonly number[]): number {
  const counts = new Map<number, number>()
  for (const value of values) counts.set(value, (counts.get(value) ?? 0) + 1)
  const [mostCommon] = [...counts].sort(([a, countA], [b, countB]) => countB - countA || b - a)
  return mostCommon?.[0] ?? Infinity
}
