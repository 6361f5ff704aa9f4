import type http from 'node:http'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'

/** Settles as the promise does, or rejects with the signal's reason when that is aborted before. */
export function endWith<T> (signal: AbortSignal, promise: Promise<T>): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const abort = (): void => reject(convertToError(signal.reason))
    signal.addEventListener('abort', abort, { once: true })
    if (signal.aborted) abort()
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', abort))
  })
}

/** Resolves once an answer has ended and nothing of it waits in the process for a client that reads slowly, or its connection has closed. */
export function waitUntilSent (response: http.ServerResponse): Promise<void> {
  const { socket } = response.req
  if (socket.destroyed) return Promise.resolve()
  return new Promise((resolve) => {
    const leave = (): void => {
      response.off('finish', leave)
      socket.off('close', leave)
      resolve()
    }
    response.once('finish', leave)
    socket.once('close', leave)
  })
}

/** How one request ends before its answer does. */
export interface RequestEnd {
  signal: AbortSignal
  /** The request's time is over. */
  expire: () => void
  /** The instance ends before the request could. */
  abandon: () => void
  /** It is known by now that the request can't be served. */
  refuse: (error: PulleystackError) => void
  /** The reason for which the request ended, or what went wrong by itself. */
  explain: (error: PulleystackError) => PulleystackError
  release: () => void
}

/** Ends a request when its client goes or its time is over. */
export function createRequestEnd (response: http.ServerResponse): RequestEnd {
  const abort = new AbortController()
  const leave = (): void => {
    if (!response.writableFinished) abort.abort(new PulleystackError('CALLER_GONE', 'The client went away'))
  }
  response.once('close', leave)
  return {
    signal: abort.signal,
    expire: () => abort.abort(new PulleystackError('DEADLINE_UNKNOWN', 'The time of the request is over')),
    abandon: () => abort.abort(new PulleystackError('INSTANCE_STOPPING', 'This instance ends before the request could', { retryAfterSeconds: 0 })),
    refuse: (error) => abort.abort(error),
    explain: (error) => {
      const reason: unknown = abort.signal.reason
      if (!(reason instanceof PulleystackError)) return error
      const { retryAfterSeconds } = reason
      return new PulleystackError(reason.code, reason.message, { cause: error, ran: error.ran === Ran.NO ? Ran.NO : Ran.UNKNOWN, retryAfterSeconds })
    },
    release: () => response.off('close', leave),
  }
}
