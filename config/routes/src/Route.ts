import type { Team } from './Team.js'

/** Whether a request of a route may run more than once. */
export const RepeatModes = { REPEATABLE: 'repeatable', ONCE: 'once' } as const
export type RepeatMode = typeof RepeatModes[keyof typeof RepeatModes]

/** A service that receives a share of a route's requests. */
export interface RouteTarget {
  service: string
  /** Relative to the other targets of the route. */
  weight: number
}

/** Which requests a route matches and how they are served. */
export interface Route {
  name: string
  /** Host without port, lower case. */
  host: string
  /** Starts and ends with a slash. */
  pathPrefix: string
  targets: readonly RouteTarget[]
  repeat: RepeatMode
  /** Responses are streams of numbered events. */
  streams: boolean
  /** A broken stream may be resumed at another backend server. */
  resumable: boolean
  /** Maximum duration of a request, in milliseconds. */
  timeoutMs: number
  /** Target time to the complete response, or to the first event of a stream, in milliseconds. */
  targetLatencyMs: number
  /** Maximum acceptable pause between events, in milliseconds; undefined for plain responses. */
  longestPauseMs: number | undefined
  /** Milliseconds after which clients abort a stream without events, regardless of their deadline; undefined if only the deadline applies. */
  patienceMs?: number
  /** 0 is the most urgent. */
  priority: number
  /** Maximum number of backend servers on which one request may run. */
  maxAttempts: number
  /** Requests need no access key even if teams are configured; defaults to false. */
  isPublic?: boolean
}

/** A model that backend servers of a service can load. */
export interface ServedModel {
  name: string
  /** Megabytes of accelerator memory. */
  weightsMb: number
  adapterMb: number
  /** Number of adapters of the model. */
  adapters: number
  /** Seconds to load from the weight store, from the server's disk (`diskSeconds`) and from its host memory (`memorySeconds`). */
  loadSeconds: number
  diskSeconds: number
  memorySeconds: number
}

/** Properties common to all model servers of a service. */
export interface ModelServing {
  /** Maximum number of requests in one batch. */
  batchSlots: number
  /** Capacity of the KV cache in tokens. */
  cacheTokens: number
  /** Megabytes of accelerator memory for weights and adapters. */
  weightsMb: number
  adapterSlots: number
  /** Loads from the weight store that all servers together may start per second. */
  loadsPerSecond: number
  models: readonly ServedModel[]
}

/** A service to which routes send requests. */
export interface RoutedService {
  name: string
  /** Connections that one backend server accepts from all instances together. */
  maxConnections: number
  /** Undefined for services without models. */
  serving: ModelServing | undefined
}

/** Limits of one client connection. */
export interface ClientLimits {
  headerBytes: number
  bodyBytes: number
  headerTimeoutMs: number
  idleTimeoutMs: number
}

/** One version of the configuration of routes, services and teams. */
export interface RoutingConfig {
  /** Increases with each change, not necessarily by one. */
  version: number
  routes: readonly Route[]
  services: readonly RoutedService[]
  /** Teams whose access keys callers must present; undefined if no key is required. */
  teams?: readonly Team[]
  limits: ClientLimits
}
