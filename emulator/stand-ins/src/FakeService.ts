import type http from 'node:http'
import type { Clock } from '@pulleystack/core.clock'
import { ATTEMPT_HEADER } from '@pulleystack/backend.http'
import { listenLoopback, readWholeBody, type LoopbackServer } from './listenLoopback.js'

/** A fake plain service. It responds with a summary of the request and counts how often each piece of work ran. */
export class FakeService {
  /** Number of runs by the value of the `work` header, by which tests track a piece of work across attempts. */
  readonly runs = new Map<string, number>()
  delayMs: number
  /** Number of next calls that run, but whose response is lost. */
  loseAnswers = 0
  /** Number of next calls to reject before they run. */
  rejectCalls = 0
  /** Number of next calls to respond to with the id of another attempt. */
  mislabelAnswers = 0
  totalRuns = 0
  private server: LoopbackServer | undefined

  private constructor (private readonly opts: { clock: Clock, delayMs?: number, port?: number }) {
    this.delayMs = opts.delayMs ?? 0
  }

  static async start (opts: { clock: Clock, delayMs?: number, port?: number }): Promise<FakeService> {
    const service = new FakeService(opts)
    service.server = await listenLoopback((request, response) => void service.handle(request, response), opts.port)
    return service
  }

  get address (): string {
    return this.server?.address ?? ''
  }

  async kill (): Promise<void> {
    await this.server?.close()
  }

  async restart (): Promise<void> {
    const port = Number(this.address.split(':')[1])
    await this.kill()
    this.server = await listenLoopback((request, response) => void this.handle(request, response), port)
  }

  private async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = await readWholeBody(request).catch(() => undefined)
    if (!body) return
    if (this.rejectCalls > 0) {
      this.rejectCalls--
      response.writeHead(503, { [ATTEMPT_HEADER]: request.headers[ATTEMPT_HEADER], 'pulleystack-ran': 'no' })
      response.end()
      return
    }
    this.countRun(request)
    if (this.delayMs > 0) await this.opts.clock.wait(this.delayMs)
    if (this.loseAnswers > 0) {
      this.loseAnswers--
      response.destroy()
      return
    }
    this.sendAnswer(request, response, body)
  }

  private countRun (request: http.IncomingMessage): void {
    this.totalRuns++
    const work = request.headers['work']
    if (typeof work === 'string') this.runs.set(work, (this.runs.get(work) ?? 0) + 1)
  }

  private sendAnswer (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): void {
    const attempt = this.mislabelAnswers > 0 ? 'another' : request.headers[ATTEMPT_HEADER]
    if (this.mislabelAnswers > 0) this.mislabelAnswers--
    const text = JSON.stringify({ path: request.url, method: request.method, work: request.headers['work'], length: body.length })
    response.writeHead(200, { 'content-type': 'application/json', [ATTEMPT_HEADER]: attempt, 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
}
