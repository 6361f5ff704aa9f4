import type { RoutedRequestFacts } from '@pulleystack/backend.interfaces'
import type { Route, RoutedService, Team } from '@pulleystack/config.routes'
import type { GenerationDemand, StreamOrigin } from '@pulleystack/routing.fleet'
import type { RequestTraits } from '@pulleystack/routing.quarantine'
import type { StreamProgress } from './relayStream.js'

const DEFAULT_OUTPUT_SHARE = 0.35
const OUTPUT_HINT_MARGIN = 1.4

/** For how long a request may crash its server, by what is known of others. */
export const Suspicions = {
  /** Servers crashed before they began to write responses to requests that share something with it. */
  UNTIL_BEGUN: 'until-begun',
  /** A server crashed during this very request. */
  UNTIL_SERVED: 'until-served',
} as const
export type Suspicion = typeof Suspicions[keyof typeof Suspicions]

/** A routed request, from its head to its response. */
export interface RoutedWork {
  requestId: string
  facts: RoutedRequestFacts
  route: Route
  service: RoutedService
  /** The team that the caller's access key belongs to, if any. */
  team: Team | undefined
  /** 0 is the most urgent. */
  priority: number
  /** Whether the access key is removed before the request is forwarded. */
  removesAccessKey: boolean
  /** Host header in lower case. */
  host: string
  method: string
  /** Path and query as sent by the client. */
  path: string
  rawHeaders: readonly string[]
  body: Buffer | undefined
  /** Monotonic time in milliseconds, as is `deadline`. */
  arrivedAt: number
  deadline: number
  generation: GenerationDemand | undefined
  /** Estimated monotonic time of the client's first try; `arrivedAt` unless the request was retried by the client. */
  firstTriedAt: number
  /** Ids of servers that failed this request. */
  excluded: Set<string>
  /** Servers that have no room for this request though they may have some for others, with the monotonic time until which this holds. */
  deniedUntil: Map<string, number>
  /** Whether another instance forwarded it, so that it is not forwarded again. */
  isForwarded: boolean
  /** Whether this instance answers another one, which answers the client and records where its stream begins. */
  answersPeer?: boolean
  /** Whether the client has received a part of the response through the instance that forwarded it. */
  hasBegunElsewhere?: boolean
  /** Whether a server was at work on it when another attempt took over. */
  hasAbandonedRun?: boolean
  /** Instances to which it was forwarded. */
  triedPeers: Set<string>
  stream: StreamProgress
  /** The request id of the attempt that began its stream, which is this one unless it continues a stream. */
  streamId: string
  /** Whether this request counts among those that run for its stream. */
  hasStoredOrigin?: boolean
  /** Where the stream that it continues began; undefined unless it continues one. */
  origin?: StreamOrigin
  /** Aborted when the client disconnects or the deadline passes. */
  signal: AbortSignal
  /** What may make servers crash that run the request; undefined until it is needed. */
  traits?: RequestTraits
  /** How far other requests avoid the servers that run it; undefined if they don't. */
  suspicion?: Suspicion
  /** It must not share a server with another suspect. */
  mustAvoidSuspects?: boolean
}

/** Whether the client has received a part of the response, which it loses if the request is rejected. */
export function hasPartialAnswer ({ stream, hasBegunElsewhere }: RoutedWork): boolean {
  return stream.events > 0 || hasBegunElsewhere === true
}

/** Whether the request waits for a server as long as its deadline allows: the client would lose a part of the response, or what a server was at work on. */
export function mustBeFinished (work: RoutedWork): boolean {
  return hasPartialAnswer(work) || work.hasAbandonedRun === true
}

/** Whether its response is a stream that the client may take up again. */
export function isResumable ({ route }: RoutedWork): boolean {
  return route.streams && route.resumable
}

/** Estimates the resources needed for a generation. */
export function estimateGeneration (facts: RoutedRequestFacts): GenerationDemand | undefined {
  const requested = facts.generation
  if (!requested) return undefined
  const expectedTokens = requested.outputHint === undefined ? requested.maxOutputTokens * DEFAULT_OUTPUT_SHARE : requested.outputHint * OUTPUT_HINT_MARGIN
  return {
    model: requested.model,
    adapter: requested.adapter,
    promptTokens: requested.promptTokens,
    outputTokens: Math.min(requested.maxOutputTokens, Math.ceil(expectedTokens)),
    parts: requested.parts,
  }
}
