import { getPriority } from '@pulleystack/config.objects'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { EngineClient, GenerateCall, GeneratedToken, GenerateEnd, TokenSink } from '@pulleystack/backend.interfaces'
import { hashPrefixBlocks } from '@pulleystack/routing.runners'
import { EventKinds } from '@pulleystack/timeline.events'
import { allowRetry, createAttemptSignal, createProgress, explainFailure, recordFailure, type Progress } from './attempts.js'
import type { DispatchOptions, DispatchRequest } from './DispatchOptions.js'
import type { Slot } from './SlotAllocator.js'
import { StallWatch } from './StallWatch.js'

const MAX_RESUMES = 2
const DEFAULT_STALL_MS = 5_000

export interface GenerationRequest extends DispatchRequest {
  /** Items that may serve the request, in order of preference. */
  items: readonly string[]
  adapter?: string
  prompt: string
  maxTokens: number
}

/** State of one request and the output received for it. */
interface GenerationProgress extends Progress {
  tokens: number
  text: string
}

interface Attempt {
  id: string
  slot: Slot
  progress: GenerationProgress
  /** Aborted at the deadline or when the caller disconnects. */
  signal: AbortSignal
  firstByteMs?: number
}

type AttemptOutcome = { end: GenerateEnd } | { failure: PulleystackError }

/** Runs requests to models. Delivers every token exactly once and in order, across resumed streams and retried attempts. */
export class GenerationDispatcher {
  constructor (private readonly opts: DispatchOptions & { engines: EngineClient, stallMs?: number }) {}

  /** Passes every token to the sink and resolves at the end of the output; rejects when it cannot be completed. */
  async run (work: GenerationRequest, sink: TokenSink): Promise<GenerateEnd> {
    const progress: GenerationProgress = { ...createProgress(), tokens: 0, text: '' }
    const blocks = hashPrefixBlocks(work.items[0] ?? '', work.prompt)
    this.opts.budgets.find(work.partner, work.service).recordRequest()
    for (;;) {
      const slot = await this.acquire(work, progress, blocks)
      progress.attempts++
      const outcome = await this.runAttempt(work, progress, slot, sink)
      if ('end' in outcome) return outcome.end
      await allowRetry(this.opts, work, progress, outcome.failure)
    }
  }

  private async acquire (work: GenerationRequest, progress: GenerationProgress, blocks: number[]): Promise<Slot> {
    try {
      const tokens = work.maxTokens - progress.tokens
      return await this.opts.slots.acquire({ ...work, blocks, tokens, excluded: progress.excluded })
    } catch (thrown) {
      const error = convertToError(thrown)
      if (!progress.outcomeUnknown && !progress.hasOutput) throw error
      throw new PulleystackError(progress.hasOutput ? 'ANSWER_BROKEN' : 'ATTEMPT_FAILED_UNKNOWN', error.message, { cause: error })
    }
  }

  private async runAttempt (work: GenerationRequest, progress: GenerationProgress, slot: Slot, sink: TokenSink): Promise<AttemptOutcome> {
    const { clock, ring } = this.opts
    const { signal, release } = createAttemptSignal(clock, work)
    const attempt: Attempt = { id: this.opts.createId(), slot, progress, signal }
    const fields = { request: work.request, attempt: attempt.id, server: slot.runner.id, partner: work.partner }
    ring.record(EventKinds.ATTEMPT_PICKED, { ...fields, note: `load ${slot.runner.estimateLoad()}, ${slot.missingBlocks} blocks to prefill` })
    try {
      const end = await this.readOutput(work, attempt, sink)
      ring.record(EventKinds.ATTEMPT_FINISHED, { ...fields, ms: clock.readTime() - slot.startedAt })
      slot.end({ firstByteMs: attempt.firstByteMs, failed: false, tokens: end.tokens })
      return { end }
    } catch (thrown) {
      const failure = explainFailure(signal, convertToError(thrown))
      recordFailure(progress, failure, slot.runner.id, this.opts.slots.isLost(slot.runner, work))
      ring.record(EventKinds.ATTEMPT_FAILED, { ...fields, note: `${failure.code}: ${failure.message}` })
      slot.end({ firstByteMs: attempt.firstByteMs, failed: !signal.aborted })
      void this.opts.engines.cancel(slot.runner.server.address, attempt.id)
      return { failure }
    } finally {
      release()
    }
  }

  /** Reads the stream of one attempt, resuming it at its offset on the same engine when the connection breaks. */
  private async readOutput (work: GenerationRequest, attempt: Attempt, sink: TokenSink): Promise<GenerateEnd> {
    const { address } = attempt.slot.runner.server
    const { engines, ring } = this.opts
    for (let resumes = 0; ; resumes++) {
      try {
        return await this.readStream(work, attempt, sink, (onToken, signal) => resumes === 0
          ? engines.generate(address, this.buildCall(work, attempt), onToken, signal)
          : engines.resume(address, attempt.id, attempt.progress.tokens, onToken, signal))
      } catch (thrown) {
        const error = explainFailure(attempt.signal, convertToError(thrown))
        const canResume = !attempt.signal.aborted && (error.ran !== Ran.NO || resumes > 0) && resumes < MAX_RESUMES
        if (!canResume) throw resumes > 0 ? createOutcomeUnknownError(error) : error
        ring.record(EventKinds.ATTEMPT_RESUMED, { request: work.request, attempt: attempt.id, note: `at token ${attempt.progress.tokens}` })
      }
    }
  }

  private buildCall (work: GenerationRequest, attempt: Attempt): GenerateCall {
    const { progress, slot } = attempt
    const item = slot.item ?? work.items[0] ?? ''
    const continuation = progress.text === '' ? undefined : progress.text
    const priority = getPriority(work.serviceClass)
    return { attempt: attempt.id, item, adapter: work.adapter, prompt: work.prompt, maxTokens: work.maxTokens, priority, offset: progress.tokens, continuation }
  }

  /** Reads one connection until it ends, breaks or stalls. */
  private async readStream (
    work: GenerationRequest,
    attempt: Attempt,
    sink: TokenSink,
    open: (onToken: TokenSink, signal: AbortSignal) => Promise<GenerateEnd>,
  ): Promise<GenerateEnd> {
    const stallMs = this.opts.stallMs ?? DEFAULT_STALL_MS
    const mayWait = (): boolean => attempt.firstByteMs === undefined && this.isReporting(attempt.slot, stallMs)
    const watch = new StallWatch({ clock: this.opts.clock, stallMs, mayWait, signal: attempt.signal })
    try {
      const reading = open((token) => {
        watch.recordProgress()
        return this.takeToken(work, attempt, token, sink)
      }, watch.signal)
      const end = await watch.guard(reading)
      if (end.tokens !== attempt.progress.tokens) throw createGapError(attempt.progress.tokens)
      return end
    } finally {
      watch.stop()
    }
  }

  private takeToken (work: GenerationRequest, attempt: Attempt, token: GeneratedToken, sink: TokenSink): void | Promise<void> {
    const { progress } = attempt
    // Tokens that arrive after the attempt was aborted are not part of the output.
    if (attempt.signal.aborted) throw new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The attempt was aborted')
    if (token.offset < progress.tokens) return undefined
    if (token.offset > progress.tokens) throw createGapError(progress.tokens)
    if (attempt.firstByteMs === undefined) this.recordFirstByte(work, attempt)
    progress.tokens++
    progress.text += token.text
    progress.hasOutput = true
    return sink(token)
  }

  /** Whether the engine has sent a status report in the last `withinMs` milliseconds. */
  private isReporting (slot: Slot, withinMs: number): boolean {
    const { reportedAt } = slot.runner
    return reportedAt !== undefined && this.opts.clock.readTime() - reportedAt < withinMs
  }

  private recordFirstByte (work: GenerationRequest, attempt: Attempt): void {
    attempt.firstByteMs = this.opts.clock.readTime() - attempt.slot.startedAt
    this.opts.ring.record(EventKinds.ATTEMPT_FIRST_BYTE, { request: work.request, attempt: attempt.id, ms: attempt.firstByteMs })
  }
}

function createGapError (token: number): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Token ${token} is missing from the stream`)
}

// An engine that does not know the attempt may have run it and restarted since.
function createOutcomeUnknownError (error: PulleystackError): PulleystackError {
  return error.ran === Ran.NO ? new PulleystackError('ATTEMPT_FAILED_UNKNOWN', error.message, { cause: error }) : error
}
