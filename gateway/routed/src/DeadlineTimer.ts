import type http from 'node:http'
import type { CancelTimer, Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { hasBody } from './readRequestBody.js'
import type { RequestAborter } from './RequestAborter.js'
import type { RequestBudget } from './RequestBudget.js'

/** Aborts a request at the deadline of its budget, whatever it waits for then. */
export class DeadlineTimer {
  private readonly cancelTimer: CancelTimer
  private mayHaveRun = false

  /** Throws DEADLINE_NOT_RUN if the deadline has passed. */
  constructor (clock: Clock, budget: RequestBudget, request: http.IncomingMessage, aborter: RequestAborter) {
    const leftMs = budget.readLeftMs(clock.readTime())
    if (leftMs <= 0) throw createNotRunError()
    this.cancelTimer = clock.setTimer(leftMs, () => {
      if (this.mayHaveRun) aborter.expire()
      else aborter.reject(isRead(request) ? createNotRunError() : createSlowBodyError())
    })
  }

  /** Records that the request may be sent to a server or another instance from now on. */
  recordSend (): void {
    this.mayHaveRun = true
  }

  cancel (): void {
    this.cancelTimer()
  }
}

function isRead (request: http.IncomingMessage): boolean {
  return request.complete || !hasBody(request)
}

function createNotRunError (): PulleystackError {
  return new PulleystackError('DEADLINE_NOT_RUN', 'The deadline of the request passed before it was sent to a server')
}

function createSlowBodyError (): PulleystackError {
  return new PulleystackError('BODY_TOO_SLOW', 'The body of the request did not arrive within its time limit')
}
