import type { Team } from './Team.js'

/** How often one request of a route may run. */
export const RepeatModes = { REPEATABLE: 'repeatable', ONCE: 'once' } as const
export type RepeatMode = typeof RepeatModes[keyof typeof RepeatModes]

/** One service that a route sends to, with its share of the requests. */
export interface RouteTarget {
  service: string
  /** Relative to the other targets of the route. */
  weight: number
}

/** A route: which requests it takes and how they are served. */
export interface Route {
  name: string
  /** Host without port, lower case. */
  host: string
  /** Begins and ends with a slash. */
  pathPrefix: string
  targets: readonly RouteTarget[]
  repeat: RepeatMode
  /** Answers with a stream of numbered events. */
  streams: boolean
  /** A broken stream may go on at another backend server. */
  resumable: boolean
  /** Longest time that a request may be held, in milliseconds. */
  timeoutMs: number
  /** Time within which an answer is of full use; for streams, to the first event. */
  targetLatencyMs: number
  /** Longest pause between events that still is of full use; undefined for plain answers. */
  longestPauseMs: number | undefined
  /** Milliseconds after which clients give a stream up of which nothing comes, whatever their deadline; undefined when only the deadline counts. */
  patienceMs?: number
  /** 0 is the most urgent. */
  priority: number
  /** Greatest number of backend servers on which one request may run. */
  maxAttempts: number
  /** Its requests need no access key, also where teams are named; false when left out. */
  isPublic?: boolean
}

/** A model that backend servers of a service can hold. */
export interface ServedModel {
  name: string
  /** Megabytes of accelerator memory. */
  weightsMb: number
  adapterMb: number
  /** Number of adapters that the model has. */
  adapters: number
  /** Seconds to load from the weight store, from the server's disk and from its host memory. */
  loadSeconds: number
  diskSeconds: number
  memorySeconds: number
}

/** What is the same in all model servers of a service. */
export interface ModelServing {
  /** Requests in one batch. */
  batchSlots: number
  /** Tokens of KV cache. */
  cacheTokens: number
  /** Megabytes of accelerator memory for weights and adapters. */
  weightsMb: number
  adapterSlots: number
  /** Loads from the weight store that all servers together may begin in a second. */
  loadsPerSecond: number
  models: readonly ServedModel[]
}

/** A service behind routes. */
export interface RoutedService {
  name: string
  /** Connections that one backend server accepts from all instances together. */
  maxConnections: number
  /** Undefined for services without models. */
  serving: ModelServing | undefined
}

/** Bounds on what one client connection may send or take. */
export interface ClientLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** Everything that routed requests need, as of one version. */
export interface RoutingConfig {
  /** Rises with each change, in uneven steps. */
  version: number
  routes: readonly Route[]
  services: readonly RoutedService[]
  /** Teams whose keys callers have to show; undefined where none is asked for. */
  teams?: readonly Team[]
  limits: ClientLimits
}
