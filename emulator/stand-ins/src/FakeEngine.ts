import type http from 'node:http'
import type { Clock } from '@pulleystack/core.clock'
import { Paths } from '@pulleystack/backend.http'
import type { EngineOrder, EngineReport, GenerateCall } from '@pulleystack/backend.interfaces'
import { BatchModel, type BatchOptions } from './BatchModel.js'
import { EngineMemory } from './EngineMemory.js'
import { answerJson, listenLoopback, readWholeBody, type LoopbackServer } from './listenLoopback.js'
import { hashPromptBlocks } from './promptBlocks.js'
import type { WeightGate } from './WeightGate.js'

const MAX_STREAMS = 1_000

export interface FakeEngineOptions extends Partial<BatchOptions> {
  clock: Clock
  memoryBytes: number
  checksFences?: boolean
  gate?: WeightGate
  /** Age in milliseconds of the state shown by reports. */
  reportLagMs?: number
  port?: number
}

interface StreamState {
  call: GenerateCall
  /** Text of the tokens generated so far, by offset. */
  texts: string[]
  done: boolean
  listeners: Set<() => void>
}

/** A fake model engine on a loopback port. It answers each prompt with the prompt's last word, repeated and numbered. */
export class FakeEngine {
  readonly memory: EngineMemory
  readonly batch: BatchModel
  /** Ids of the attempts that were generated to the end. */
  readonly finishedAttempts: string[] = []
  readonly cancelled: string[] = []
  /** Breaks the connection of the next `count` streams after `afterTokens` tokens. */
  breakStreams = { count: 0, afterTokens: 3 }
  rejectAll = false
  private readonly streams = new Map<string, StreamState>()
  private server: LoopbackServer | undefined
  private reports: { takenAt: number, report: Omit<EngineReport, 'ageMs' | 'cacheEvents' | 'cacheSeq'> }[] = []
  private reportSeq = 0
  private incarnation = 1

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

  /** Simulates a crash: breaks all connections and clears all state. */
  async kill (): Promise<void> {
    await this.server?.close()
    this.batch.reset()
    this.streams.clear()
    this.memory.restart()
  }

  /** Restarts the engine with empty state on the same port. */
  async restart (): Promise<void> {
    const port = Number(this.address.split(':')[1])
    await this.kill()
    this.incarnation++
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
      answerJson(response, 200, { life: String(this.incarnation), ageMs: 0, items: this.memory.listItems(), freeBytes: this.memory.freeBytes })
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
    this.reports.push({ takenAt: now, report: { seq: ++this.reportSeq, life: String(this.incarnation), ...load, ...memory } })
    const newestVisible = this.reports.findLastIndex((it) => it.takenAt <= now - (this.opts.reportLagMs ?? 0))
    if (newestVisible > 0) this.reports = this.reports.slice(newestVisible)
    const visible = this.reports[0] as FakeEngine['reports'][number]
    return { ...visible.report, ageMs: now - visible.takenAt, cacheEvents: this.batch.takeCacheEvents(), cacheSeq: this.batch.newestCacheSeq }
  }

  private handleOrder (order: EngineOrder, response: http.ServerResponse): void {
    const outcome = this.memory.receiveOrder(order)
    if (outcome === 'lost') response.destroy()
    else answerJson(response, outcome === 'accepted' ? 202 : 409, { outcome })
  }

  private handleGenerate (call: GenerateCall, response: http.ServerResponse): void {
    const ready = this.memory.isReady(call.item) && (!call.adapter || this.memory.isReady(call.adapter))
    if (this.rejectAll || !ready) {
      answerJson(response, this.rejectAll ? 503 : 404, {})
      return
    }
    const stream: StreamState = { call, texts: [], done: false, listeners: new Set() }
    this.storeStream(call.attempt, stream)
    this.batch.submit({
      attempt: call.attempt,
      blocks: hashPromptBlocks(call.item, call.prompt),
      tokens: call.maxTokens,
      offset: call.offset,
      priority: call.priority,
      onToken: (offset) => {
        stream.texts[offset] = buildTokenText(call, offset)
        this.wakeListeners(stream)
      },
      onEnd: () => {
        stream.done = true
        this.finishedAttempts.push(call.attempt)
        this.wakeListeners(stream)
      },
    })
    this.sendStream(stream, call.offset, response)
  }

  private handleResume (call: { attempt: string, offset: number }, response: http.ServerResponse): void {
    const stream = this.streams.get(call.attempt)
    if (stream) this.sendStream(stream, call.offset, response)
    else answerJson(response, 404, {})
  }

  private handleCancel (call: { attempt: string }, response: http.ServerResponse): void {
    this.batch.cancel(call.attempt)
    this.cancelled.push(call.attempt)
    this.streams.delete(call.attempt)
    answerJson(response, 200, {})
  }

  private sendStream (stream: StreamState, from: number, response: http.ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.write(`${JSON.stringify({ attempt: stream.call.attempt })}\n`)
    const breakAfter = this.breakStreams.count > 0 ? this.breakStreams.afterTokens : Infinity
    if (breakAfter !== Infinity) this.breakStreams.count--
    let next = from
    const flush = (): void => {
      while (stream.texts[next] !== undefined && next - from < breakAfter) {
        response.write(`${JSON.stringify({ t: [next, stream.texts[next]] })}\n`)
        next++
      }
      if (next - from >= breakAfter) response.destroy()
      else if (stream.done) response.end(`${JSON.stringify({ end: { finish: 'stop', tokens: stream.call.maxTokens } })}\n`)
    }
    stream.listeners.add(flush)
    response.on('close', () => stream.listeners.delete(flush))
    flush()
  }

  private wakeListeners (stream: StreamState): void {
    for (const listener of stream.listeners) listener()
  }

  private storeStream (attempt: string, stream: StreamState): void {
    this.streams.set(attempt, stream)
    if (this.streams.size <= MAX_STREAMS) return
    const oldest = [...this.streams].find(([, candidate]) => candidate.done)
    if (oldest) this.streams.delete(oldest[0])
  }
}

/** Builds a token from the last word of the prompt, by which tests identify the request, and the offset. */
function buildTokenText (call: GenerateCall, offset: number): string {
  const name = call.prompt.trim().split(/\s+/).at(-1) ?? ''
  return `${name.slice(0, 24)}#${offset} `
}
