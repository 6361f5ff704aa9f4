import type { IncomingHttpHeaders } from 'node:http'
import type { ServerStatus } from './ServerStatement.js'

/** One part of a prompt; parts with the same id have the same text. */
export interface RoutedPromptPart {
  id: string
  tokens: number
}

/** Generation that a routed request asks for. */
export interface RoutedGeneration {
  model: string
  adapter: string | undefined
  promptTokens: number
  /** Most tokens that may come out. */
  maxOutputTokens: number
  /** The client's guess of the tokens that come out; right in the median only. */
  outputHint: number | undefined
  parts: readonly RoutedPromptPart[]
}

/** What the headers of a routed request say. */
export interface RoutedRequestFacts {
  requestId: string | undefined
  /** Milliseconds that the client will wait. */
  waitMs: number | undefined
  generation: RoutedGeneration | undefined
  /** Newest event that the client has of a stream that is taken up again. */
  lastEventId: string | undefined
  /** Tokens in and out at the most that the request names; undefined when it names none. */
  tokens?: number
  /** The access key that its caller shows. It stands in nothing that is logged or sent to a backend server. */
  accessKey?: string
}

/** What the system itself tells a backend server with a request. */
export interface ForwardContext {
  /** The only server that may run it. */
  backendId: string
  /** Milliseconds left. */
  waitMs: number
  /** 0 is the most urgent. */
  priority: number
  /** Event after which a stream goes on. */
  lastEventId: string | undefined
  bodyBytes: number | undefined
  /** The team whose key the caller showed; undefined when none has it. */
  team?: string
  /** The caller's access key is meant for the system alone and left out. */
  removesAccessKey?: boolean
}

/** What the head of a backend server's answer says. */
export interface ResponseFacts {
  requestId: string | undefined
  /** The server vouches that the answer is its own. */
  signed: boolean
  /** The server did not run the request and never will. */
  notRun: boolean
  /** Another server than the one that was meant may have answered. */
  misdirected?: boolean
  /** What the server says of itself; undefined when it says nothing. */
  serverStatus?: ServerStatus | undefined
}

/** How routed requests and their answers are marked; every platform has headers of its own. */
export abstract class RoutedProtocol {
  abstract readRequest (headers: IncomingHttpHeaders): RoutedRequestFacts
  /** Headers to the backend server, names and values by turns; all others of the client's travel along unchanged. */
  abstract buildForwardHeaders (rawHeaders: readonly string[], context: ForwardContext): string[]
  /** Headers to another instance that answers in place of this one: the client's own with the milliseconds that are left, if it named any. */
  abstract buildRelayHeaders (rawHeaders: readonly string[], waitMs: number | undefined): string[]
  abstract readResponse (status: number, headers: IncomingHttpHeaders): ResponseFacts
  /** Headers of an answer that the system gives itself. */
  abstract buildOwnHeaders (requestId: string | undefined): Record<string, string>
}
