import assert from 'node:assert/strict'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { RepeatModes } from '@pulleystack/config.routes'
import { ManualClock } from '@pulleystack/core.clock'
import { Backend } from '@pulleystack/routing.fleet'
import { BackendAgent } from '@pulleystack/routing.forward'
import { WindowBudget } from '@pulleystack/routing.retries'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { runRequest, type RunOptions } from '../src/runRequest.js'
import type { BackendPlace } from '../src/BackendSlot.js'
import type { ClientAnswer } from '../src/ClientAnswer.js'
import type { RoutedWork } from '../src/RoutedWork.js'

const WINDOW_MS = 10_000
const EXTRA = 5
/** A further attempt that was allowed waits so long for its place; then its window lasts for some while yet. */
const WAIT_MS = 9_000
const LATER_MS = 3_000

/** A server that refuses the first request and serves the others. */
function createServer (): http.Server {
  let count = 0
  return http.createServer((request, response) => {
    const isRefused = count++ === 0
    request.resume()
    response.writeHead(isRefused ? 503 : 200, isRefused ? { unused: '1' } : {}).end('body')
  })
}

describe('a further attempt that was allowed', () => {
  const work = {
    requestId: 'q',
    route: { name: 'r', repeat: RepeatModes.REPEATABLE, maxAttempts: 2, targetLatencyMs: 60_000, streams: false },
    service: { name: 's' },
    method: 'GET',
    path: '/',
    rawHeaders: [],
    deadline: 60_000,
    excluded: new Set(),
    stream: { events: 0 },
    signal: new AbortController().signal,
  } as unknown as RoutedWork
  const client = { hasBegun: false, sendWhole: () => undefined } as unknown as ClientAnswer
  let clock: ManualClock
  let server: http.Server
  let agent: BackendAgent
  let budget: WindowBudget
  let opts: RunOptions
  let hasAskedAgain: Promise<void>
  let giveSecondPlace: () => void

  beforeEach(async () => {
    clock = new ManualClock()
    server = createServer()
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const backend = new Backend({ id: 'b', service: 's', address, dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] })
    const noted = { noteSent: () => undefined, noteAnswered: () => undefined, notePrefilled: () => undefined }
    const place = { ...noted, backend, choice: { keptTokens: 0 }, end: () => undefined } as unknown as BackendPlace
    let acquired = 0
    let noteAsked = (): void => undefined
    hasAskedAgain = new Promise((resolve) => {
      noteAsked = resolve
    })
    const acquire = (): Promise<BackendPlace> => {
      if (acquired++ === 0) return Promise.resolve(place)
      noteAsked()
      return new Promise((resolve) => {
        giveSecondPlace = () => resolve(place)
      })
    }
    budget = new WindowBudget({ clock, ratio: 0.2, extra: EXTRA, windowMs: WINDOW_MS, countInstances: () => 1 })
    agent = new BackendAgent(clock)
    opts = {
      clock,
      agent,
      protocol: {
        buildForwardHeaders: () => ['Host', 'h'],
        readAnswer: (_: number, headers: http.IncomingHttpHeaders) => ({ requestId: 'q', signed: true, notRun: headers.unused !== undefined }),
      },
      suspects: { hasChanged: () => false, admit: () => Promise.resolve({ isOnly: false, release: () => undefined }), noteServed: () => undefined },
      queue: { acquire, hasPlaceBeside: () => true },
      fleet: { noteOutcome: () => undefined },
      statements: { takeAnswer: () => undefined },
      log: new SilentDecisionLog(),
      findBudget: () => budget,
    } as unknown as RunOptions
  })

  afterEach(async () => {
    agent.destroy()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  // It may wait for its place for seconds. Counted when it was allowed, it was forgotten soon after it had been sent, and a service got those of two
  // windows within one.
  it('counts in the window in which it is sent, not in the one in which it was allowed', async () => {
    const done = runRequest(opts, work, client)
    await hasAskedAgain
    await clock.advance(WAIT_MS)
    giveSecondPlace()
    await done
    await clock.advance(LATER_MS)
    assert.equal(budget.left, EXTRA - 1)
  })
})
