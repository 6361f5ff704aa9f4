import type http from 'node:http'
import type { RoutedWork } from './RoutedWork.js'

/** How far a request has come that has not been answered whole. */
export const RequestStates = {
  /** Its body is being read. */
  READING: 'reading',
  /** It waits for a place at a server, at first or before another attempt. */
  WAITING: 'waiting',
  /** It was sent to a server of which nothing has been passed on. */
  SENT: 'sent',
  /** Its answer is being passed on. */
  STREAMING: 'streaming',
  /** Its answer is held up by a client that does not read. */
  PAUSED: 'paused',
  /** Its answer is written, but has not left. */
  ANSWERED: 'answered',
} as const
export type RequestState = typeof RequestStates[keyof typeof RequestStates]

/** What is known of a request that has not been answered whole. */
export interface UnfinishedFacts {
  request: string | undefined
  route: string | undefined
  ageMs: number
  state: RequestState
  /** The head of its answer was written. */
  hasBegun: boolean
  /** Events of its stream that were passed on. */
  events: number
}

export interface UnfinishedRequestOptions {
  request: string | undefined
  response: http.ServerResponse
  arrivedAt: number
  isWaiting: (work: RoutedWork) => boolean
}

/** One request from its arrival until its answer has left whole or its client is gone. */
export class UnfinishedRequest {
  /** Undefined until its body was read. */
  work: RoutedWork | undefined

  constructor (private readonly opts: UnfinishedRequestOptions) {}

  describe (now: number): UnfinishedFacts {
    const { request, response, arrivedAt } = this.opts
    return {
      request,
      route: this.work?.route.name,
      ageMs: Math.round(now - arrivedAt),
      state: this.state,
      hasBegun: response.headersSent,
      events: this.work?.stream.events ?? 0,
    }
  }

  private get state (): RequestState {
    const { response, isWaiting } = this.opts
    if (response.writableEnded) return RequestStates.ANSWERED
    if (!this.work) return RequestStates.READING
    if (isWaiting(this.work)) return RequestStates.WAITING
    if (response.writableNeedDrain) return RequestStates.PAUSED
    return response.headersSent ? RequestStates.STREAMING : RequestStates.SENT
  }
}
