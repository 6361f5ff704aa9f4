import { Readable } from 'node:stream'
import { buffer } from 'node:stream/consumers'
import { ServiceClasses } from '@pulleystack/config.objects'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import type { ServiceAnswer, ServiceClient } from '@pulleystack/backend.interfaces'
import { EventKinds } from '@pulleystack/timeline.events'
import { allowRetry, createAttemptSignal, createFinalError, createProgress, explainFailure, noteFailure, type Progress } from './attempts.js'
import type { DispatchOptions, RequestWork } from './DispatchOptions.js'
import { LatencyTracker } from './LatencyTracker.js'
import type { Place, PlaceRequest } from './Places.js'

// Answers of lookups up to this size are read whole before the first byte goes on, so that a break can be retried.
const MAX_HELD_BYTES = 256 << 10

export interface ServiceWork extends RequestWork {
  method: string
  path: string
  headers: Record<string, string | string[]>
  /** A stream can be sent once only. */
  body: Buffer | Readable | undefined
}

interface Running {
  place: Place
  result: Promise<ServiceAnswer>
  stop: () => void
}

/** Runs calls to plain services. */
export class ServiceDispatcher {
  private readonly latencies = new LatencyTracker()

  constructor (private readonly opts: DispatchOptions & { services: ServiceClient }) {}

  /** Gives the answer of the one attempt that counts; the answers of all others are dropped. */
  async run (work: ServiceWork): Promise<ServiceAnswer> {
    const progress = createProgress()
    const oneShot = work.body instanceof Readable
    this.opts.budgets.find(work.partner, work.service).noteRequest()
    for (;;) {
      const place = await this.acquire(work, progress)
      progress.attempts++
      try {
        return await this.runHedged(work, progress, place)
      } catch (thrown) {
        const error = convertToError(thrown)
        if (oneShot) throw createFinalError(progress, error)
        await allowRetry(this.opts, work, progress, error)
      }
    }
  }

  private async acquire (work: ServiceWork, progress: Progress): Promise<Place> {
    try {
      return await this.opts.places.acquire(buildRequest(work, progress))
    } catch (thrown) {
      throw createFinalError(progress, convertToError(thrown))
    }
  }

  /** Sends the call, and for a late lookup a second one elsewhere; the first good answer wins. */
  private async runHedged (work: ServiceWork, progress: Progress, place: Place): Promise<ServiceAnswer> {
    const first = this.start(work, progress, place)
    if (!canHedge(work)) return first.result
    const hedgeMs = this.latencies.estimateLate(`${work.partner}/${work.service}`)
    const isLate = await this.waitUntilLate(first.result, hedgeMs)
    const second = isLate ? this.startHedge(work, progress, place) : undefined
    if (!second) return first.result
    return this.takeFirst(first, second)
  }

  /** True when the time passed before the attempt was settled. */
  private waitUntilLate (result: Promise<unknown>, ms: number): Promise<boolean> {
    return new Promise((resolve) => {
      const cancel = this.opts.clock.setTimer(ms, () => resolve(true))
      const finish = (): void => {
        cancel()
        resolve(false)
      }
      result.then(finish, finish)
    })
  }

  private startHedge (work: ServiceWork, progress: Progress, place: Place): Running | undefined {
    const budget = this.opts.budgets.find(work.partner, work.service)
    if (!budget.take()) return undefined
    const excluded = new Set([...progress.excluded, place.runner.id])
    const other = this.opts.places.tryGrant({ ...buildRequest(work, progress), excluded })
    if (other && other.runner.id !== place.runner.id) return this.start(work, progress, other)
    other?.end({ failed: false })
    budget.giveBack()
    return undefined
  }

  private async takeFirst (first: Running, second: Running): Promise<ServiceAnswer> {
    const tagged = [first, second].map((running) => running.result.then((answer) => ({ answer, running })))
    try {
      const winner = await Promise.any(tagged)
      const loser = winner.running === first ? second : first
      loser.stop()
      void loser.result.then(dropBody, () => undefined)
      return winner.answer
    } catch {
      return first.result
    }
  }

  private start (work: ServiceWork, progress: Progress, place: Place): Running {
    const { abort, release } = createAttemptSignal(this.opts.clock, work)
    const result = this.attempt(work, progress, place, abort).finally(release)
    result.catch(() => undefined)
    return { place, result, stop: () => abort.abort(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'Another attempt was faster')) }
  }

  private async attempt (work: ServiceWork, progress: Progress, place: Place, abort: AbortController): Promise<ServiceAnswer> {
    const { clock, ring } = this.opts
    const id = this.opts.createId()
    const fields = { request: work.request, attempt: id, server: place.runner.id, partner: work.partner }
    ring.record(EventKinds.ATTEMPT_PICKED, fields)
    let firstByteMs: number | undefined
    try {
      const { method, path, headers, body } = work
      const answer = await this.opts.services.call(place.runner.server.address, { attempt: id, method, path, headers, body }, abort.signal)
      firstByteMs = clock.readTime() - place.startedAt
      const held = await holdAnswer(work, answer)
      this.latencies.add(`${work.partner}/${work.service}`, firstByteMs)
      ring.record(EventKinds.ATTEMPT_FINISHED, { ...fields, ms: firstByteMs, note: `status ${answer.status}` })
      endWithBody(held.body, () => place.end({ firstByteMs, failed: false }))
      return held
    } catch (thrown) {
      const error = explainFailure(abort.signal, convertToError(thrown))
      noteFailure(progress, error, place.runner.id)
      ring.record(EventKinds.ATTEMPT_FAILED, { ...fields, note: `${error.code}: ${error.message}` })
      place.end({ firstByteMs, failed: !abort.signal.aborted, overloaded: error.code === 'BACKEND_REFUSED' })
      throw error
    }
  }
}

function canHedge (work: ServiceWork): boolean {
  return work.repeatable && work.serviceClass === ServiceClasses.LOOKUP && !(work.body instanceof Readable)
}

function buildRequest (work: ServiceWork, progress: Progress): PlaceRequest {
  return { ...work, blocks: [], excluded: progress.excluded }
}

async function holdAnswer (work: ServiceWork, answer: ServiceAnswer): Promise<ServiceAnswer> {
  const length = Number(answer.headers['content-length'] ?? NaN)
  if (work.serviceClass !== ServiceClasses.LOOKUP || !(length <= MAX_HELD_BYTES)) return answer
  try {
    return { ...answer, body: await buffer(answer.body as Readable) }
  } catch (cause) {
    throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The answer broke off', { cause })
  }
}

function dropBody (answer: ServiceAnswer): void {
  if (!Buffer.isBuffer(answer.body)) answer.body.destroy()
}

function endWithBody (body: Readable | Buffer, end: () => void): void {
  if (Buffer.isBuffer(body) || body.destroyed || body.readableEnded) {
    end()
    return
  }
  body.once('end', end)
  body.once('close', end)
}
