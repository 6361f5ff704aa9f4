import type http from 'node:http'
import type { Clock } from '@pulleystack/core.clock'
import { Paths } from '@pulleystack/backend.http'
import type { EngineOrder, EngineReport, GenerateCall } from '@pulleystack/backend.interfaces'
import { BatchModel, type BatchOptions } from './BatchModel.js'
import { EngineMemory } from './EngineMemory.js'
import { answerJson, listenLoopback, readWholeBody, type LoopbackServer } from './listenLoopback.js'
import { hashPromptBlocks } from './promptBlocks.js'
import type { WeightGate } from './WeightGate.js'

const KEPT_STREAMS = 1_000

export interface FakeEngineOptions extends Partial<BatchOptions> {
  clock: Clock
  memoryBytes: number
  checksFences?: boolean
  gate?: WeightGate
  /** Reports show the state of so long ago. */
  reportLagMs?: number
  port?: number
}

interface KeptStream {
  call: GenerateCall
  /** Tokens generated so far, by offset. */
  texts: string[]
  done: boolean
  listeners: Set<() => void>
}

/** A model engine on a loopback port. It answers each prompt with numbered words that name the prompt. */
export class FakeEngine {
  readonly memory: EngineMemory
  readonly batch: BatchModel
  /** Whole answers given, by attempt. */
  readonly finished: string[] = []
  readonly cancelled: string[] = []
  /** Breaks the connection of the next so many streams after this many tokens. */
  breakStreams = { count: 0, afterTokens: 3 }
  refuseAll = false
  private readonly streams = new Map<string, KeptStream>()
  private server: LoopbackServer | undefined
  private reports: { at: number, report: Omit<EngineReport, 'ageMs' | 'cacheEvents' | 'cacheSeq'> }[] = []
  private reportSeq = 0
  private life = 1

  private constructor (private readonly opts: FakeEngineOptions) {
    const { clock } = opts
    this.memory = new EngineMemory({ clock, memoryBytes: opts.memoryBytes, checksFences: opts.checksFences ?? true, gate: opts.gate })
    this.batch = new BatchModel({
      clock,
      slots: opts.slots ?? 8,
      prefillMsPerBlock: opts.prefillMsPerBlock ?? 4,
      tokenMs: opts.tokenMs ?? 5,
      batchMsPerRequest: opts.batchMsPerRequest ?? 0.5,
      cacheBlocks: opts.cacheBlocks ?? 400,
    })
  }

  /** Starts an engine on a free port. */
  static async start (opts: FakeEngineOptions): Promise<FakeEngine> {
    const engine = new FakeEngine(opts)
    engine.server = await listenLoopback((request, response) => void engine.handle(request, response), opts.port)
    return engine
  }

  get address (): string {
    return this.server?.address ?? ''
  }

  /** Dies: every connection breaks and nothing is kept. */
  async kill (): Promise<void> {
    await this.server?.close()
    this.batch.reset()
    this.streams.clear()
    this.memory.restart()
  }

  /** Comes back empty on the same port. */
  async restart (): Promise<void> {
    const port = Number(this.address.split(':')[1])
    await this.kill()
    this.life++
    this.reports = []
    this.server = await listenLoopback((request, response) => void this.handle(request, response), port)
  }

  private async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine')
    if (url.pathname === Paths.REPORT) {
      await this.handleReport(url, response)
      return
    }
    if (url.pathname === Paths.INVENTORY) {
      answerJson(response, 200, { life: String(this.life), ageMs: 0, items: this.memory.listItems(), freeBytes: this.memory.freeBytes })
      return
    }
    const body = JSON.parse((await readWholeBody(request)).toString() || '{}') as unknown
    if (url.pathname === Paths.ORDERS) this.handleOrder(body as EngineOrder, response)
    else if (url.pathname === Paths.GENERATE) this.handleGenerate(body as GenerateCall, response)
    else if (url.pathname === Paths.RESUME) this.handleResume(body as { attempt: string, offset: number }, response)
    else if (url.pathname === Paths.CANCEL) this.handleCancel(body as { attempt: string }, response)
    else answerJson(response, 404, {})
  }

  private async handleReport (url: URL, response: http.ServerResponse): Promise<void> {
    await this.opts.clock.wait(Number(url.searchParams.get('wait')))
    answerJson(response, 200, this.takeReport())
  }

  private takeReport (): EngineReport {
    const now = this.opts.clock.readTime()
    const load = this.batch.load
    const memory = { items: this.memory.listItems(), freeBytes: this.memory.freeBytes }
    this.reports.push({ at: now, report: { seq: ++this.reportSeq, life: String(this.life), ...load, ...memory } })
    const shown = this.reports.findLastIndex((it) => it.at <= now - (this.opts.reportLagMs ?? 0))
    if (shown > 0) this.reports = this.reports.slice(shown)
    const first = this.reports[0] as FakeEngine['reports'][number]
    return { ...first.report, ageMs: now - first.at, cacheEvents: this.batch.takeCacheEvents(), cacheSeq: this.batch.newestCacheSeq }
  }

  private handleOrder (order: EngineOrder, response: http.ServerResponse): void {
    const outcome = this.memory.receiveOrder(order)
    if (outcome === 'lost') response.destroy()
    else answerJson(response, outcome === 'accepted' ? 202 : 409, { outcome })
  }

  private handleGenerate (call: GenerateCall, response: http.ServerResponse): void {
    const ready = this.memory.isReady(call.item) && (!call.adapter || this.memory.isReady(call.adapter))
    if (this.refuseAll || !ready) {
      answerJson(response, this.refuseAll ? 503 : 404, {})
      return
    }
    const kept: KeptStream = { call, texts: [], done: false, listeners: new Set() }
    this.keepStream(call.attempt, kept)
    this.batch.submit({
      attempt: call.attempt,
      blocks: hashPromptBlocks(call.item, call.prompt),
      tokens: call.maxTokens,
      offset: call.offset,
      priority: call.priority,
      onToken: (offset) => {
        kept.texts[offset] = buildWord(call, offset)
        this.wake(kept)
      },
      onEnd: () => {
        kept.done = true
        this.finished.push(call.attempt)
        this.wake(kept)
      },
    })
    this.sendStream(kept, call.offset, response)
  }

  private handleResume (call: { attempt: string, offset: number }, response: http.ServerResponse): void {
    const kept = this.streams.get(call.attempt)
    if (kept) this.sendStream(kept, call.offset, response)
    else answerJson(response, 404, {})
  }

  private handleCancel (call: { attempt: string }, response: http.ServerResponse): void {
    this.batch.cancel(call.attempt)
    this.cancelled.push(call.attempt)
    this.streams.delete(call.attempt)
    answerJson(response, 200, {})
  }

  private sendStream (kept: KeptStream, from: number, response: http.ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.write(`${JSON.stringify({ attempt: kept.call.attempt })}\n`)
    const breakAfter = this.breakStreams.count > 0 ? this.breakStreams.afterTokens : Infinity
    if (breakAfter !== Infinity) this.breakStreams.count--
    let next = from
    const flush = (): void => {
      while (kept.texts[next] !== undefined && next - from < breakAfter) {
        response.write(`${JSON.stringify({ t: [next, kept.texts[next]] })}\n`)
        next++
      }
      if (next - from >= breakAfter) response.destroy()
      else if (kept.done) response.end(`${JSON.stringify({ end: { finish: 'stop', tokens: kept.call.maxTokens } })}\n`)
    }
    kept.listeners.add(flush)
    response.on('close', () => kept.listeners.delete(flush))
    flush()
  }

  private wake (kept: KeptStream): void {
    for (const listener of kept.listeners) listener()
  }

  private keepStream (attempt: string, kept: KeptStream): void {
    this.streams.set(attempt, kept)
    if (this.streams.size <= KEPT_STREAMS) return
    const oldest = [...this.streams].find(([, stream]) => stream.done)
    if (oldest) this.streams.delete(oldest[0])
  }
}

/** The token of an answer: the prompt's last word, so that tests see whose answer it is, and the offset. */
function buildWord (call: GenerateCall, offset: number): string {
  const name = call.prompt.trim().split(/\s+/).at(-1) ?? ''
  return `${name.slice(0, 24)}#${offset} `
}
