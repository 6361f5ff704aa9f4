import type http from 'node:http'
import type { RoutedWork } from './RoutedWork.js'

/** States of a request whose response is incomplete. */
export const RequestStates = {
  /** The request body is being read. */
  READING: 'reading',
  /** Waits for a slot at a server, for the first or another attempt. */
  WAITING: 'waiting',
  /** Sent to a server; no response has been forwarded. */
  SENT: 'sent',
  /** The response is being forwarded. */
  STREAMING: 'streaming',
  /** The response is blocked by a client that does not read. */
  PAUSED: 'paused',
  /** The response has been written but not flushed. */
  ANSWERED: 'answered',
} as const
export type RequestState = typeof RequestStates[keyof typeof RequestStates]

/** Describes an unfinished request in the log. */
export interface UnfinishedFacts {
  request: string | undefined
  route: string | undefined
  ageMs: number
  state: RequestState
  /** Whether the response head has been written. */
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

/** Tracks a request from its arrival until its response has been flushed or its client has disconnected. */
export class UnfinishedRequest {
  /** Undefined until the request body has been read. */
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
