import { Readable } from 'node:stream'
import { buffer } from 'node:stream/consumers'
import { ServiceClasses } from '@pulleystack/config.objects'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import type { ServiceAnswer, ServiceClient } from '@pulleystack/backend.interfaces'
import { EventKinds } from '@pulleystack/timeline.events'
import { allowRetry, createAttemptSignal, createFinalError, createProgress, explainFailure, recordFailure, type Progress } from './attempts.js'
import type { DispatchOptions, DispatchRequest } from './DispatchOptions.js'
import { LatencyTracker } from './LatencyTracker.js'
import type { Slot, SlotRequest } from './SlotAllocator.js'

// Lookup responses up to this size are buffered before they are passed on, so that incomplete ones can be retried.
const MAX_BUFFERED_BYTES = 256 << 10

export interface ServiceRequest extends DispatchRequest {
  method: string
  path: string
  headers: Record<string, string | string[]>
  /** A stream can be sent only once. */
  body: Buffer | Readable | undefined
}

interface RunningAttempt {
  slot: Slot
  result: Promise<ServiceAnswer>
  stop: () => void
}

/** Runs calls to plain services. */
export class ServiceDispatcher {
  private readonly latencies = new LatencyTracker()

  constructor (private readonly opts: DispatchOptions & { services: ServiceClient }) {}

  /** Resolves with the response of the first successful attempt and discards all others. */
  async run (work: ServiceRequest): Promise<ServiceAnswer> {
    const progress = createProgress()
    const hasStreamBody = work.body instanceof Readable
    this.opts.budgets.find(work.partner, work.service).recordRequest()
    for (;;) {
      const slot = await this.acquire(work, progress)
      progress.attempts++
      try {
        return await this.runHedged(work, progress, slot)
      } catch (thrown) {
        const error = convertToError(thrown)
        if (hasStreamBody) throw createFinalError(progress, error)
        await allowRetry(this.opts, work, progress, error)
      }
    }
  }

  private async acquire (work: ServiceRequest, progress: Progress): Promise<Slot> {
    try {
      return await this.opts.slots.acquire(buildRequest(work, progress))
    } catch (thrown) {
      throw createFinalError(progress, convertToError(thrown))
    }
  }

  /** Sends the call, and a slow lookup also to a second server; returns the first successful response. */
  private async runHedged (work: ServiceRequest, progress: Progress, slot: Slot): Promise<ServiceAnswer> {
    const first = this.start(work, progress, slot)
    if (!canHedge(work)) return first.result
    const hedgeMs = this.latencies.estimateSlowMs(`${work.partner}/${work.service}`)
    const isSlow = await this.waitUntilSlow(first.result, hedgeMs)
    const second = isSlow ? this.startHedge(work, progress, slot) : undefined
    if (!second) return first.result
    return this.waitForFirst(first, second)
  }

  /** Resolves with true when the time passes before the attempt is settled. */
  private waitUntilSlow (result: Promise<unknown>, ms: number): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = this.opts.clock.setTimer(ms, () => resolve(true))
      const finish = (): void => {
        cancel()
        resolve(false)
      }
      result.then(finish, finish)
    })
  }

  private startHedge (work: ServiceRequest, progress: Progress, slot: Slot): RunningAttempt | undefined {
    const budget = this.opts.budgets.find(work.partner, work.service)
    if (!budget.take()) return undefined
    const excluded = new Set([...progress.excluded, slot.runner.id])
    const otherSlot = this.opts.slots.tryAcquire({ ...buildRequest(work, progress), excluded })
    if (otherSlot && otherSlot.runner.id !== slot.runner.id) return this.start(work, progress, otherSlot)
    otherSlot?.end({ failed: false })
    budget.release()
    return undefined
  }

  private async waitForFirst (first: RunningAttempt, second: RunningAttempt): Promise<ServiceAnswer> {
    const results = [first, second].map((running) => running.result.then((response) => ({ response, running })))
    try {
      const winner = await Promise.any(results)
      const loser = winner.running === first ? second : first
      loser.stop()
      void loser.result.then(discardBody, () => undefined)
      return winner.response
    } catch {
      return first.result
    }
  }

  private start (work: ServiceRequest, progress: Progress, slot: Slot): RunningAttempt {
    const { controller, release } = createAttemptSignal(this.opts.clock, work)
    const result = this.attempt(work, progress, slot, controller).finally(release)
    result.catch(() => undefined)
    return { slot, result, stop: () => controller.abort(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'Another attempt finished first')) }
  }

  private async attempt (work: ServiceRequest, progress: Progress, slot: Slot, controller: AbortController): Promise<ServiceAnswer> {
    const { clock, ring } = this.opts
    const id = this.opts.createId()
    const fields = { request: work.request, attempt: id, server: slot.runner.id, partner: work.partner }
    ring.record(EventKinds.ATTEMPT_PICKED, fields)
    let firstByteMs: number | undefined
    try {
      const { method, path, headers, body } = work
      const response = await this.opts.services.call(slot.runner.server.address, { attempt: id, method, path, headers, body }, controller.signal)
      firstByteMs = clock.readTime() - slot.startedAt
      const collected = await collectSmallBody(work, response)
      this.latencies.add(`${work.partner}/${work.service}`, firstByteMs)
      ring.record(EventKinds.ATTEMPT_FINISHED, { ...fields, ms: firstByteMs, note: `status ${response.status}` })
      endAfterBody(collected.body, () => slot.end({ firstByteMs, failed: false }))
      return collected
    } catch (thrown) {
      const error = explainFailure(controller.signal, convertToError(thrown))
      recordFailure(progress, error, slot.runner.id)
      ring.record(EventKinds.ATTEMPT_FAILED, { ...fields, note: `${error.code}: ${error.message}` })
      slot.end({ firstByteMs, failed: !controller.signal.aborted, overloaded: error.code === 'BACKEND_REFUSED' })
      throw error
    }
  }
}

function canHedge (work: ServiceRequest): boolean {
  return work.repeatable && work.serviceClass === ServiceClasses.LOOKUP && !(work.body instanceof Readable)
}

function buildRequest (work: ServiceRequest, progress: Progress): SlotRequest {
  return { ...work, blocks: [], excluded: progress.excluded }
}

async function collectSmallBody (work: ServiceRequest, response: ServiceAnswer): Promise<ServiceAnswer> {
  const length = Number(response.headers['content-length'] ?? NaN)
  if (work.serviceClass !== ServiceClasses.LOOKUP || !(length <= MAX_BUFFERED_BYTES)) return response
  try {
    return { ...response, body: await buffer(response.body as Readable) }
  } catch (cause) {
    throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The response ended before it was complete', { cause })
  }
}

function discardBody (response: ServiceAnswer): void {
  if (!Buffer.isBuffer(response.body)) response.body.destroy()
}

function endAfterBody (body: Readable | Buffer, end: () => void): void {
  if (Buffer.isBuffer(body) || body.destroyed || body.readableEnded) {
    end()
    return
  }
  body.once('end', end)
  body.once('close', end)
}
