import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { EngineClient, type EngineInventory, type EngineReport, type GenerateCall, type GenerateEnd, type TokenSink } from '@pulleystack/backend.interfaces'
import { BatchModel, hashPromptBlocks, type BatchOptions } from '@pulleystack/emulator.stand-ins'
import { err, type Result } from 'neverthrow'

/** One in-memory engine. A frozen engine accepts work but sends no tokens and no reports. */
interface TimedEngine {
  batch: BatchModel
  state: 'live' | 'dead' | 'frozen'
  incarnation: number
  seq: number
  rejectCallbacks: Set<(error: PulleystackError) => void>
}

export interface TimedEnginesOptions extends Partial<Omit<BatchOptions, 'clock'>> {
  clock: Clock
  count: number
}

/** In-memory engines that generate tokens with the timing of continuous batching. */
export class TimedEngines extends EngineClient {
  readonly engines: TimedEngine[]
  /** Number of generations started from the first token, by the last word of the prompt (the request's name). */
  readonly startCounts = new Map<string, number>()
  private readonly blockCounts = new Map<string, { hits: number, blocks: number }>()

  constructor (private readonly opts: TimedEnginesOptions) {
    super()
    this.engines = Array.from({ length: opts.count }, () => ({ batch: this.createBatch(), state: 'live', incarnation: 1, seq: 0, rejectCallbacks: new Set() }))
  }

  setState (i: number, state: TimedEngine['state']): void {
    const engine = this.engines[i] as TimedEngine
    if (state === 'dead') {
      engine.batch.reset()
      engine.incarnation++
      const crashError = new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The engine crashed', { ran: Ran.UNKNOWN })
      for (const reject of [...engine.rejectCallbacks]) reject(crashError)
    }
    engine.state = state
  }

  /** Returns the engine's current report with the cache events since the previous one; undefined unless it is live. */
  takeReport (i: number): EngineReport | undefined {
    const engine = this.engines[i] as TimedEngine
    if (engine.state !== 'live') return undefined
    return {
      seq: ++engine.seq,
      life: String(engine.incarnation),
      ageMs: 0,
      ...engine.batch.load,
      items: [],
      freeBytes: 0,
      cacheEvents: engine.batch.takeCacheEvents(),
      cacheSeq: engine.batch.newestCacheSeq,
    }
  }

  async generate (address: string, call: GenerateCall, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd> {
    const engine = this.engines[Number(address)] as TimedEngine
    if (engine.state === 'dead') throw new PulleystackError('ATTEMPT_FAILED_NOT_RUN', 'The engine is unreachable')
    const name = call.prompt.trim().split(/\s+/).at(-1) ?? ''
    this.startCounts.set(name, (this.startCounts.get(name) ?? 0) + (call.offset === 0 ? 1 : 0))
    return this.stream(engine, call, { name, sink, signal })
  }

  async resume (): Promise<GenerateEnd> {
    throw new PulleystackError('BACKEND_REFUSED', 'The engine has no record of the attempt', { ran: Ran.NO })
  }

  async cancel (address: string, attempt: string): Promise<void> {
    this.engines[Number(address)]?.batch.cancel(attempt)
  }

  async readReport (): Promise<Result<EngineReport, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'Engine reports are not requested in a replay'))
  }

  async readInventory (): Promise<Result<EngineInventory, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'There is no placement in a replay'))
  }

  async sendOrder (): Promise<Result<void, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'There is no placement in a replay'))
  }

  /** Share of prompt blocks found in an engine's cache. */
  get cacheHitRatio (): number {
    let hits = 0
    let blocks = 0
    for (const it of this.blockCounts.values()) {
      hits += it.hits
      blocks += it.blocks
    }
    return blocks === 0 ? 0 : hits / blocks
  }

  private createBatch (): BatchModel {
    const { clock, slots = 8, prefillMsPerBlock = 4, tokenMs = 10, batchMsPerRequest = 0, cacheBlocks = 400 } = this.opts
    return new BatchModel({ clock, slots, prefillMsPerBlock, tokenMs, batchMsPerRequest, cacheBlocks })
  }

  private stream (engine: TimedEngine, call: GenerateCall, opts: { name: string, sink: TokenSink, signal: AbortSignal }): Promise<GenerateEnd> {
    const { attempt, offset, priority, maxTokens: tokens } = call
    const blocks = hashPromptBlocks(call.item, call.prompt)
    const cached = new Set(engine.batch.listCached())
    this.blockCounts.set(attempt, { hits: blocks.filter((block) => cached.has(block)).length, blocks: blocks.length })
    return new Promise((resolve, reject) => {
      engine.rejectCallbacks.add(reject)
      opts.signal.addEventListener('abort', () => reject(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'aborted')), { once: true })
      engine.batch.submit({
        attempt,
        blocks,
        tokens,
        offset,
        priority,
        onToken: (tokenOffset) => {
          if (engine.state === 'live') void opts.sink({ attempt, offset: tokenOffset, text: `${opts.name}#${tokenOffset} ` })
        },
        onEnd: () => {
          engine.rejectCallbacks.delete(reject)
          if (engine.state === 'live') resolve({ attempt, finish: 'stop', tokens })
        },
      })
    })
  }
}
