import { getWorkClass } from '@pulleystack/config.objects'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { EngineClient, GenerateItem } from '@pulleystack/platform.interfaces'
import { hashPrefixBlocks } from '@pulleystack/routing.runners'
import { EventKinds } from '@pulleystack/timeline.events'
import { allowRetry, createAttemptSignal, createProgress, explainFailure, noteFailure, type Progress } from './attempts.js'
import type { DispatchOptions, RequestWork } from './DispatchOptions.js'
import type { Place } from './Places.js'
import { readWithStall } from './readWithStall.js'

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
  abort: AbortController
  firstByteMs?: number
  /** The answer's end has come. */
  ended: boolean
}

/** Runs requests to models. The pieces come in order, each once, whatever happens to attempts and streams. */
export class GenerationDispatcher {
  constructor (private readonly opts: DispatchOptions & { engines: EngineClient, stallMs?: number }) {}

  /** Yields the answer's tokens and then its end; throws when it can't be made whole. */
  async* run (work: GenerationWork): AsyncGenerator<GenerateItem, void> {
    const answer: Answer = { ...createProgress(), tokens: 0, text: '' }
    const blocks = hashPrefixBlocks(work.items[0] ?? '', work.prompt)
    this.opts.budgets.find(work.partner, work.service).noteRequest()
    for (;;) {
      const place = await this.acquire(work, answer, blocks)
      answer.attempts++
      const failure = yield* this.runAttempt(work, answer, place)
      if (!failure) return
      await allowRetry(this.opts, work, answer, failure)
    }
  }

  private async acquire (work: GenerationWork, answer: Answer, blocks: number[]): Promise<Place> {
    try {
      return await this.opts.places.acquire({ ...work, blocks, excluded: answer.excluded })
    } catch (thrown) {
      const error = convertToError(thrown)
      if (!answer.uncertain && !answer.answering) throw error
      throw new PulleystackError(answer.answering ? 'ANSWER_BROKEN' : 'ATTEMPT_FAILED_UNKNOWN', error.message, { cause: error })
    }
  }

  private async* runAttempt (work: GenerationWork, answer: Answer, place: Place): AsyncGenerator<GenerateItem, PulleystackError | undefined> {
    const { clock, ring } = this.opts
    const { abort, release } = createAttemptSignal(clock, work)
    const attempt: Attempt = { id: this.opts.createId(), place, answer, abort, ended: false }
    const fields = { request: work.request, attempt: attempt.id, server: place.runner.id, partner: work.partner }
    ring.record(EventKinds.ATTEMPT_PICKED, { ...fields, note: `load ${place.runner.estimateLoad()}, ${place.missingBlocks} blocks to prefill` })
    try {
      yield* this.readAnswer(work, attempt)
      ring.record(EventKinds.ATTEMPT_FINISHED, { ...fields, ms: clock.readTime() - place.startedAt })
      return undefined
    } catch (thrown) {
      const error = explainFailure(abort.signal, convertToError(thrown))
      noteFailure(answer, error, place.runner.id, this.opts.places.isLost(place.runner, work))
      ring.record(EventKinds.ATTEMPT_FAILED, { ...fields, note: `${error.code}: ${error.message}` })
      return error
    } finally {
      release()
      // Also reached when the reader of this generator stops reading: the engine's work is of no use any more.
      const { ended } = attempt
      place.end({ firstByteMs: attempt.firstByteMs, failed: !ended && !abort.signal.aborted })
      if (!ended) this.cancel(attempt)
    }
  }

  private cancel (attempt: Attempt): void {
    attempt.abort.abort()
    void this.opts.engines.cancel(attempt.place.runner.server.address, attempt.id)
  }

  /** Reads the stream of one attempt, going on at its offset on the same engine when the connection breaks. */
  private async* readAnswer (work: GenerationWork, attempt: Attempt): AsyncGenerator<GenerateItem, void> {
    const { address } = attempt.place.runner.server
    let stream = this.opts.engines.generate(address, this.buildCall(work, attempt), attempt.abort.signal)
    for (let resumes = 0; ; resumes++) {
      try {
        yield* this.readStream(stream, work, attempt)
        return
      } catch (thrown) {
        const error = explainFailure(attempt.abort.signal, convertToError(thrown))
        const canResume = !attempt.abort.signal.aborted && (error.ran !== Ran.NO || resumes > 0) && resumes < MAX_RESUMES
        if (!canResume) throw resumes > 0 ? createUncertain(error) : error
        this.opts.ring.record(EventKinds.ATTEMPT_RESUMED, { request: work.request, attempt: attempt.id, note: `at token ${attempt.answer.tokens}` })
        stream = this.opts.engines.resume(address, attempt.id, attempt.answer.tokens, attempt.abort.signal)
      }
    }
  }

  private buildCall (work: GenerationWork, attempt: Attempt) {
    const { answer, place } = attempt
    const item = place.item ?? work.items[0] ?? ''
    const continuation = answer.text === '' ? undefined : answer.text
    const priority = getWorkClass(work.serviceClass)
    return { attempt: attempt.id, item, adapter: work.adapter, prompt: work.prompt, maxTokens: work.maxTokens, priority, offset: answer.tokens, continuation }
  }

  private async* readStream (stream: AsyncIterable<GenerateItem>, work: GenerationWork, attempt: Attempt): AsyncGenerator<GenerateItem, void> {
    const { answer } = attempt
    const stallMs = this.opts.stallMs ?? STALL_MS
    const mayWait = (): boolean => attempt.firstByteMs === undefined && this.isReporting(attempt.place, stallMs)
    for await (const item of readWithStall(stream, { clock: this.opts.clock, stallMs, mayWait })) {
      // What an engine sends after it was told to stop is no part of the answer.
      if (attempt.abort.signal.aborted) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The attempt was stopped')
      if ('end' in item) {
        if (item.end.tokens !== answer.tokens) throw createGap(answer.tokens)
        attempt.ended = true
        yield item
        return
      }
      const { token } = item
      if (token.offset < answer.tokens) continue
      if (token.offset > answer.tokens) throw createGap(answer.tokens)
      if (attempt.firstByteMs === undefined) this.noteFirstByte(work, attempt)
      answer.tokens++
      answer.text += token.text
      answer.answering = true
      yield item
    }
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
