import { getWorkClass } from '@pulleystack/config.objects'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { EngineClient, GenerateCall, GeneratedToken, GenerateEnd, TokenSink } from '@pulleystack/backend.interfaces'
import { hashPrefixBlocks } from '@pulleystack/routing.runners'
import { EventKinds } from '@pulleystack/timeline.events'
import { allowRetry, createAttemptSignal, createProgress, explainFailure, noteFailure, type Progress } from './attempts.js'
import type { DispatchOptions, RequestWork } from './DispatchOptions.js'
import type { Place } from './Places.js'
import { StallWatch } from './StallWatch.js'

const MAX_RESUMES = 2
const STALL_MS = 5_000

export interface GenerationWork extends RequestWork {
  /** Items that may serve, best first. */
  items: readonly string[]
  adapter?: string
  prompt: string
  maxTokens: number
}

/** What has come of one answer so far. */
interface Answer extends Progress {
  tokens: number
  text: string
}

interface Attempt {
  id: string
  place: Place
  answer: Answer
  /** Ends with the deadline or the caller. */
  signal: AbortSignal
  firstByteMs?: number
}

type AttemptOutcome = { end: GenerateEnd } | { failure: PulleystackError }

/** Runs requests to models. The tokens come in order, each once, whatever happens to attempts and streams. */
export class GenerationDispatcher {
  constructor (private readonly opts: DispatchOptions & { engines: EngineClient, stallMs?: number }) {}

  /** Gives every token to the sink and resolves with the answer's end; rejects when it can't be made whole. */
  async run (work: GenerationWork, sink: TokenSink): Promise<GenerateEnd> {
    const answer: Answer = { ...createProgress(), tokens: 0, text: '' }
    const blocks = hashPrefixBlocks(work.items[0] ?? '', work.prompt)
    this.opts.budgets.find(work.partner, work.service).noteRequest()
    for (;;) {
      const place = await this.acquire(work, answer, blocks)
      answer.attempts++
      const outcome = await this.runAttempt(work, answer, place, sink)
      if ('end' in outcome) return outcome.end
      await allowRetry(this.opts, work, answer, outcome.failure)
    }
  }

  private async acquire (work: GenerationWork, answer: Answer, blocks: number[]): Promise<Place> {
    try {
      const tokens = work.maxTokens - answer.tokens
      return await this.opts.places.acquire({ ...work, blocks, tokens, excluded: answer.excluded })
    } catch (thrown) {
      const error = convertToError(thrown)
      if (!answer.uncertain && !answer.answering) throw error
      throw new PulleystackError(answer.answering ? 'ANSWER_BROKEN' : 'ATTEMPT_FAILED_UNKNOWN', error.message, { cause: error })
    }
  }

  private async runAttempt (work: GenerationWork, answer: Answer, place: Place, sink: TokenSink): Promise<AttemptOutcome> {
    const { clock, ring } = this.opts
    const { signal, release } = createAttemptSignal(clock, work)
    const attempt: Attempt = { id: this.opts.createId(), place, answer, signal }
    const fields = { request: work.request, attempt: attempt.id, server: place.runner.id, partner: work.partner }
    ring.record(EventKinds.ATTEMPT_PICKED, { ...fields, note: `load ${place.runner.estimateLoad()}, ${place.missingBlocks} blocks to prefill` })
    try {
      const end = await this.readAnswer(work, attempt, sink)
      ring.record(EventKinds.ATTEMPT_FINISHED, { ...fields, ms: clock.readTime() - place.startedAt })
      place.end({ firstByteMs: attempt.firstByteMs, failed: false, tokens: end.tokens })
      return { end }
    } catch (thrown) {
      const failure = explainFailure(signal, convertToError(thrown))
      noteFailure(answer, failure, place.runner.id, this.opts.places.isLost(place.runner, work))
      ring.record(EventKinds.ATTEMPT_FAILED, { ...fields, note: `${failure.code}: ${failure.message}` })
      place.end({ firstByteMs: attempt.firstByteMs, failed: !signal.aborted })
      void this.opts.engines.cancel(place.runner.server.address, attempt.id)
      return { failure }
    } finally {
      release()
    }
  }

  /** Reads the stream of one attempt, going on at its offset on the same engine when the connection breaks. */
  private async readAnswer (work: GenerationWork, attempt: Attempt, sink: TokenSink): Promise<GenerateEnd> {
    const { address } = attempt.place.runner.server
    const { engines, ring } = this.opts
    for (let resumes = 0; ; resumes++) {
      try {
        return await this.readStream(work, attempt, sink, (take, signal) => resumes === 0
          ? engines.generate(address, this.buildCall(work, attempt), take, signal)
          : engines.resume(address, attempt.id, attempt.answer.tokens, take, signal))
      } catch (thrown) {
        const error = explainFailure(attempt.signal, convertToError(thrown))
        const canResume = !attempt.signal.aborted && (error.ran !== Ran.NO || resumes > 0) && resumes < MAX_RESUMES
        if (!canResume) throw resumes > 0 ? createUncertain(error) : error
        ring.record(EventKinds.ATTEMPT_RESUMED, { request: work.request, attempt: attempt.id, note: `at token ${attempt.answer.tokens}` })
      }
    }
  }

  private buildCall (work: GenerationWork, attempt: Attempt): GenerateCall {
    const { answer, place } = attempt
    const item = place.item ?? work.items[0] ?? ''
    const continuation = answer.text === '' ? undefined : answer.text
    const priority = getWorkClass(work.serviceClass)
    return { attempt: attempt.id, item, adapter: work.adapter, prompt: work.prompt, maxTokens: work.maxTokens, priority, offset: answer.tokens, continuation }
  }

  /** Reads one connection to its end, a break or a stall. */
  private async readStream (
    work: GenerationWork,
    attempt: Attempt,
    sink: TokenSink,
    open: (take: TokenSink, signal: AbortSignal) => Promise<GenerateEnd>,
  ): Promise<GenerateEnd> {
    const stallMs = this.opts.stallMs ?? STALL_MS
    const mayWait = (): boolean => attempt.firstByteMs === undefined && this.isReporting(attempt.place, stallMs)
    const watch = new StallWatch({ clock: this.opts.clock, stallMs, mayWait, signal: attempt.signal })
    try {
      const reading = open((token) => {
        watch.noteProgress()
        return this.takeToken(work, attempt, token, sink)
      }, watch.signal)
      const end = await watch.guard(reading)
      if (end.tokens !== attempt.answer.tokens) throw createGap(attempt.answer.tokens)
      return end
    } finally {
      watch.stop()
    }
  }

  private takeToken (work: GenerationWork, attempt: Attempt, token: GeneratedToken, sink: TokenSink): void | Promise<void> {
    const { answer } = attempt
    // What an engine sends after it was told to stop is no part of the answer.
    if (attempt.signal.aborted) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The attempt was stopped')
    if (token.offset < answer.tokens) return undefined
    if (token.offset > answer.tokens) throw createGap(answer.tokens)
    if (attempt.firstByteMs === undefined) this.noteFirstByte(work, attempt)
    answer.tokens++
    answer.text += token.text
    answer.answering = true
    return sink(token)
  }

  /** An engine that reports is alive; one that was reported on and fell silent is not. */
  private isReporting (place: Place, withinMs: number): boolean {
    const { reportedAt } = place.runner
    return reportedAt !== undefined && this.opts.clock.readTime() - reportedAt < withinMs
  }

  private noteFirstByte (work: GenerationWork, attempt: Attempt): void {
    attempt.firstByteMs = this.opts.clock.readTime() - attempt.place.startedAt
    this.opts.ring.record(EventKinds.ATTEMPT_FIRST_BYTE, { request: work.request, attempt: attempt.id, ms: attempt.firstByteMs })
  }
}

function createGap (token: number): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Token ${token} is missing from the stream`)
}

// Once the order has been sent, an engine that does not know the attempt proves nothing: it may have restarted.
function createUncertain (error: PulleystackError): PulleystackError {
  return error.ran === Ran.NO ? new PulleystackError('ATTEMPT_FAILED_UNKNOWN', error.message, { cause: error }) : error
}
