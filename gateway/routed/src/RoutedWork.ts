import type { RoutedRequestFacts } from '@pulleystack/backend.interfaces'
import type { Route, RoutedService, Team } from '@pulleystack/config.routes'
import type { GenerationDemand } from '@pulleystack/routing.fleet'
import type { StreamProgress } from './relayStream.js'

const UNHINTED_SHARE = 0.35
const HINT_MARGIN = 1.4

/** One routed request, from its head to its answer. */
export interface RoutedWork {
  requestId: string
  facts: RoutedRequestFacts
  route: Route
  service: RoutedService
  /** The team whose key its caller showed; undefined where none is asked for. */
  team: Team | undefined
  /** 0 is the most urgent. */
  priority: number
  /** The access key is meant for the system alone. */
  hidesKey: boolean
  /** Whom the client asked, in lower case. */
  host: string
  method: string
  /** Path and query as the client sent them. */
  path: string
  rawHeaders: readonly string[]
  body: Buffer | undefined
  /** Monotone times. */
  arrivedAt: number
  deadline: number
  generation: GenerationDemand | undefined
  /** When its client most likely tried first, by monotone time; `arrivedAt` unless it was refused before and came back. */
  firstTriedAt: number
  /** Servers that failed this request. */
  excluded: Set<string>
  /** How far its stream has come. */
  stream: StreamProgress
  /** Ends with the client or at the deadline. */
  signal: AbortSignal
  /** The same whenever the request comes again, under whichever id; undefined until it is asked for. */
  identity?: string
  /** A server has ended under it, and others keep away from where it runs. */
  isSuspect?: boolean
  /** More than one has, and it runs on no server where another suspect is. */
  mustBeApart?: boolean
}

/** What a request's generation will likely take. */
export function estimateGeneration (facts: RoutedRequestFacts): GenerationDemand | undefined {
  const asked = facts.generation
  if (!asked) return undefined
  const guess = asked.outputHint === undefined ? asked.maxOutputTokens * UNHINTED_SHARE : asked.outputHint * HINT_MARGIN
  return {
    model: asked.model,
    adapter: asked.adapter,
    promptTokens: asked.promptTokens,
    outputTokens: Math.min(asked.maxOutputTokens, Math.ceil(guess)),
    parts: asked.parts,
  }
}
