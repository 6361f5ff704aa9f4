import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { RepeatModes } from '@pulleystack/config.routes'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { HeldBytes } from '@pulleystack/gateway.http'
import { BackendAgent } from '@pulleystack/routing.forward'
import { WindowBudget } from '@pulleystack/routing.retries'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendQueue } from '../src/BackendQueue.js'
import type { ClientResponse } from '../src/ClientResponse.js'
import { createStreamProgress } from '../src/relayStream.js'
import { ResponseTimes } from '../src/ResponseTimes.js'
import type { RoutedWork } from '../src/RoutedWork.js'
import { runRequest, type RunOptions } from '../src/runRequest.js'
import { StreamFlusher } from '../src/StreamFlusher.js'

export const TARGET_MS = 400
const PAUSE_MS = 400
const DEADLINE_MS = 60_000
const STEP_MS = 25
/** Real time for sockets to deliver what was written before the clock advances further. */
const SOCKET_MS = 4

/** One request as a server sees it. */
export interface ServedRequest {
  server: string
  /** The event after which the stream is to go on. */
  after: number
  response: http.ServerResponse
  isClosed: boolean
  /** Simulated time of its arrival in milliseconds. */
  at: number
}

export type Script = (served: ServedRequest) => void

/** Rejects a request as not run. */
export function refuse ({ response }: ServedRequest): void {
  response.writeHead(503, { unused: '1' }).end()
}

/** Begins a stream, or goes on with it, and sends its events up to `last`. */
export function sendEvents ({ response, after, isClosed }: ServedRequest, last: number, { isWhole = true } = {}): void {
  if (isClosed) return
  if (!response.headersSent) response.writeHead(200, { 'content-type': 'text/event-stream' })
  for (let id = after + 1; id <= last; id++) response.write(`id: ${id}\ndata: ${id}\n\n`)
  if (isWhole) response.end()
}

/** Servers that follow scripts, and one request whose attempts are made as the gateway makes them. */
export class TakeoverFixture {
  readonly clock = new ManualClock()
  readonly served: ServedRequest[] = []
  readonly fleet = new BackendFleet()
  readonly agent = new BackendAgent(this.clock)
  readonly queue: BackendQueue
  /** What the client has received. */
  received = ''
  isEnded = false
  work!: RoutedWork
  budget!: WindowBudget
  opts!: RunOptions
  private readonly servers: http.Server[] = []

  constructor () {
    const residency = { requestWeights: () => Promise.resolve({ coming: false, reason: '' }), recordEnded: () => undefined } as unknown as ResidencyClient
    const { clock, fleet } = this
    this.queue = new BackendQueue({ clock, random: new RandomSource(1), fleet, residency, log: new NullDecisionLog(), dataHall: 'z', policy: DEFAULT_POLICY })
  }

  /** Starts a server; requests come first to the one in the own data hall, the first one that is added. */
  async addServer (id: string, script: Script, slots = 4): Promise<http.Server> {
    const server = http.createServer((request, response) => {
      const it: ServedRequest = { server: id, after: Number(request.headers.after ?? 0), response, isClosed: false, at: this.clock.readTime() }
      response.once('close', () => {
        it.isClosed = true
      })
      this.served.push(it)
      request.resume().once('end', () => script(it))
    })
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const dataHall = this.servers.length === 0 ? 'z' : 'other'
    this.servers.push(server)
    this.fleet.put({ id, service: 's', address, dataHall, slots, draining: false, models: undefined, inMemory: [], onDisk: [] })
    return server
  }

  /** Sets the request up; `budget` is the number of retries that are permitted. */
  prepare ({ streams = true, budget = 5 } = {}): void {
    const limits = { maxAttempts: 2, targetLatencyMs: TARGET_MS, longestPauseMs: PAUSE_MS }
    const route = { name: 'r', repeat: RepeatModes.REPEATABLE, ...limits, streams, resumable: true, targets: [{ service: 's', weight: 1 }] }
    const base = { requestId: 'q', facts: {}, service: { name: 's' }, method: 'GET', path: '/', rawHeaders: [], priority: 0, generation: undefined }
    const times = { arrivedAt: 0, firstTriedAt: 0, deadline: DEADLINE_MS }
    const tried = { excluded: new Set(), deniedUntil: new Map(), triedPeers: new Set() }
    const state = { ...tried, stream: createStreamProgress(undefined), signal: new AbortController().signal }
    this.work = { ...base, ...times, ...state, route, streamId: 'q' } as unknown as RoutedWork
    this.budget = new WindowBudget({ clock: this.clock, ratio: 0, fixedAllowance: budget, windowMs: 10_000, countInstances: () => 1 })
    this.opts = {
      clock: this.clock,
      random: new RandomSource(1),
      agent: this.agent,
      protocol: {
        buildForwardHeaders: (_: unknown, { lastEventId }: { lastEventId?: string }) => ['Host', 'h', ...lastEventId === undefined ? [] : ['After', lastEventId]],
        readResponse: (_: number, headers: http.IncomingHttpHeaders) => ({ requestId: 'q', isConfirmedByServer: true, notRun: headers.unused !== undefined }),
      },
      suspects: {
        mustReadmit: () => false,
        admit: () => Promise.resolve({ isExclusive: false, release: () => undefined }),
        recordBegun: () => undefined,
        recordServed: () => undefined,
        checkServerEnd: () => Promise.resolve(undefined),
      },
      queue: this.queue,
      slots: this.queue,
      paths: { inspect: () => Promise.resolve(undefined), check: () => Promise.resolve(undefined) },
      fleet: this.fleet,
      reports: { applyResponse: () => undefined },
      origins: { begin: () => Promise.resolve(), store: () => undefined, record: () => undefined, end: () => undefined },
      flusher: new StreamFlusher(this.clock),
      log: new NullDecisionLog(),
      findBudget: () => this.budget,
      responseTimes: new ResponseTimes(),
      held: new HeldBytes({ maxBytes: 1 << 20, readTime: () => 0 }),
    } as unknown as RunOptions
  }

  /** Runs the request to its end, at most for `ms` of simulated time; resolves with its error, if any. */
  async run (ms = 20_000): Promise<unknown> {
    let outcome: { error?: unknown } | undefined
    void runRequest(this.opts, this.work, this.createClient()).then(() => outcome = {}, (error: unknown) => outcome = { error })
    for (let at = 0; at < ms && !outcome; at += STEP_MS) {
      await new Promise((resolve) => setTimeout(resolve, SOCKET_MS))
      await this.clock.advance(STEP_MS)
    }
    return outcome ? outcome.error : new PulleystackError('DEADLINE_UNKNOWN', 'The request goes on', { ran: Ran.UNKNOWN })
  }

  /** Requests that a server has received, in order. */
  list (server: string): ServedRequest[] {
    return this.served.filter((it) => it.server === server)
  }

  private createClient (): ClientResponse {
    const client = {
      hasBegun: false,
      beginStream: () => {
        client.hasBegun = true
      },
      write: (bytes: Buffer) => {
        this.received += bytes.toString()
        return true
      },
      endStream: () => {
        this.isEnded = true
      },
      onDrain: () => undefined,
      sendBuffered: (_: unknown, body: Buffer) => {
        this.received += body.toString()
        this.isEnded = true
      },
    }
    return client as unknown as ClientResponse
  }

  async stop (): Promise<void> {
    this.agent.destroy()
    for (const server of this.servers) {
      server.closeAllConnections()
      await new Promise((resolve) => server.close(resolve))
    }
  }
}
