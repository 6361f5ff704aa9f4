import type http from 'node:http'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'

/** Settles like the promise, or rejects with the signal's reason if it is aborted first. */
export function waitUnlessAborted<T> (signal: AbortSignal, promise: Promise<T>): Promise<T> {
  return new Promise<T>((resolve, reject) => {
    const handleAbort = (): void => reject(convertToError(signal.reason))
    signal.addEventListener('abort', handleAbort, { once: true })
    if (signal.aborted) handleAbort()
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', handleAbort))
  })
}

/** Resolves when the response has been flushed to the connection, or the connection has closed. */
export function waitUntilSent (response: http.ServerResponse): Promise<void> {
  const { socket } = response.req
  if (socket.destroyed) return Promise.resolve()
  return new Promise((resolve) => {
    const finish = (): void => {
      response.off('finish', finish)
      socket.off('close', finish)
      resolve()
    }
    response.once('finish', finish)
    socket.once('close', finish)
  })
}

/** Aborts one request. */
export interface RequestAborter {
  signal: AbortSignal
  /** Aborts the request because its deadline has passed. */
  expire: () => void
  /** Aborts the request because the instance is shutting down. */
  stop: () => void
  /** Aborts a request that has turned out not to be servable. */
  reject: (error: PulleystackError) => void
  /** Returns the reason of the abort with what is known about whether the request ran, or the error itself if it was not aborted. */
  explain: (error: PulleystackError) => PulleystackError
  release: () => void
}

/** Also aborts the request when its client closes the connection. */
export function createRequestAborter (response: http.ServerResponse): RequestAborter {
  const controller = new AbortController()
  const handleClose = (): void => {
    if (!response.writableFinished) controller.abort(new PulleystackError('CALLER_GONE', 'The client closed the connection'))
  }
  response.once('close', handleClose)
  return {
    signal: controller.signal,
    expire: () => controller.abort(new PulleystackError('DEADLINE_UNKNOWN', 'The deadline of the request has passed')),
    stop: () => controller.abort(
      new PulleystackError('INSTANCE_STOPPING', 'This instance is shutting down and cannot finish the request', { retryAfterSeconds: 0 }),
    ),
    reject: (error) => controller.abort(error),
    explain: (error) => {
      const reason: unknown = controller.signal.reason
      if (!(reason instanceof PulleystackError)) return error
      const { retryAfterSeconds } = reason
      return new PulleystackError(reason.code, reason.message, { cause: error, ran: error.ran === Ran.NO ? Ran.NO : Ran.UNKNOWN, retryAfterSeconds })
    },
    release: () => response.off('close', handleClose),
  }
}
