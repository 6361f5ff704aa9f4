import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { EngineClient, type EngineInventory, type EngineReport, type GenerateCall, type GenerateEnd, type TokenSink } from '@pulleystack/backend.interfaces'
import { BatchModel, hashPromptBlocks, type BatchOptions } from '@pulleystack/emulator.stand-ins'
import { err, type Result } from 'neverthrow'

/** One engine without a socket: the stand-ins' timing, and a switch for life, death and freezing. */
interface TimedEngine {
  batch: BatchModel
  state: 'live' | 'dead' | 'frozen'
  life: number
  seq: number
  failures: Set<(error: PulleystackError) => void>
}

export interface TimedEnginesOptions extends Partial<Omit<BatchOptions, 'clock'>> {
  clock: Clock
  count: number
}

/** Engines in memory that generate with the timing of continuous batching; every start is counted by the request's name. */
export class TimedEngines extends EngineClient {
  readonly engines: TimedEngine[]
  /** Starts from the first token, by the last word of the prompt. */
  readonly started = new Map<string, number>()
  private readonly served = new Map<string, { hits: number, blocks: number }>()

  constructor (private readonly opts: TimedEnginesOptions) {
    super()
    this.engines = Array.from({ length: opts.count }, () => ({ batch: this.createBatch(), state: 'live', life: 1, seq: 0, failures: new Set() }))
  }

  setState (i: number, state: TimedEngine['state']): void {
    const engine = this.engines[i] as TimedEngine
    if (state === 'dead') {
      engine.batch.reset()
      engine.life++
      const lost = new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The engine died', { ran: Ran.UNKNOWN })
      for (const fail of [...engine.failures]) fail(lost)
    }
    engine.state = state
  }

  /** The report that an engine would give now, and what it has cached since the last. */
  takeReport (i: number): EngineReport | undefined {
    const engine = this.engines[i] as TimedEngine
    if (engine.state !== 'live') return undefined
    return {
      seq: ++engine.seq,
      life: String(engine.life),
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
    if (engine.state === 'dead') throw new PulleystackError('ATTEMPT_FAILED_NOT_RUN', 'The engine cannot be reached')
    const name = call.prompt.trim().split(/\s+/).at(-1) ?? ''
    this.started.set(name, (this.started.get(name) ?? 0) + (call.offset === 0 ? 1 : 0))
    return this.stream(engine, call, { name, sink, signal })
  }

  async resume (): Promise<GenerateEnd> {
    throw new PulleystackError('BACKEND_REFUSED', 'The engine does not know the attempt', { ran: Ran.NO })
  }

  async cancel (address: string, attempt: string): Promise<void> {
    this.engines[Number(address)]?.batch.cancel(attempt)
  }

  async readReport (): Promise<Result<EngineReport, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'Reports are taken by the replay'))
  }

  async readInventory (): Promise<Result<EngineInventory, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'There is no placement in a replay'))
  }

  async sendOrder (): Promise<Result<void, PulleystackError>> {
    return err(new PulleystackError('INTERNAL', 'There is no placement in a replay'))
  }

  /** Share of prompt blocks that were found cached. */
  get hitShare (): number {
    let hits = 0
    let blocks = 0
    for (const it of this.served.values()) {
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
    this.served.set(attempt, { hits: blocks.filter((block) => cached.has(block)).length, blocks: blocks.length })
    return new Promise((resolve, reject) => {
      engine.failures.add(reject)
      opts.signal.addEventListener('abort', () => reject(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'aborted')), { once: true })
      engine.batch.submit({
        attempt,
        blocks,
        tokens,
        offset,
        priority,
        onToken: (at) => {
          if (engine.state === 'live') void opts.sink({ attempt, offset: at, text: `${opts.name}#${at} ` })
        },
        onEnd: () => {
          engine.failures.delete(reject)
          if (engine.state === 'live') resolve({ attempt, finish: 'stop', tokens })
        },
      })
    })
  }
}
