import assert from 'node:assert/strict'
import http from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { RepeatModes } from '@pulleystack/config.routes'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { Backend, BackendFleet } from '@pulleystack/routing.fleet'
import { HeldBytes } from '@pulleystack/gateway.http'
import { BackendAgent } from '@pulleystack/routing.forward'
import { WindowBudget } from '@pulleystack/routing.retries'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { createStreamProgress } from '../src/relayStream.js'
import { ResponseTimes } from '../src/ResponseTimes.js'
import { runRequest, type RunOptions } from '../src/runRequest.js'
import { StreamFlusher } from '../src/StreamFlusher.js'
import type { BackendSlot } from '../src/BackendSlot.js'
import type { ClientResponse } from '../src/ClientResponse.js'
import type { RoutedWork } from '../src/RoutedWork.js'

const WINDOW_MS = 10_000
const EXTRA_RETRIES = 5
/** Wait for the slot of the second attempt; nearly a whole budget window. */
const SLOT_WAIT_MS = 9_000
const AFTER_SEND_MS = 3_000
const TARGET_MS = 400
/** Requests of one client that earn a retry. */
const REQUESTS_PER_RETRY = 5

/** Creates a server that rejects the first request and serves the others. */
function createServer (onRequest: () => void): http.Server {
  let count = 0
  return http.createServer((request, response) => {
    const isRejected = count++ === 0
    onRequest()
    request.resume()
    response.writeHead(isRejected ? 503 : 200, isRejected ? { unused: '1' } : {}).end('body')
  })
}

describe('runRequest, for a retry', () => {
  const work = {
    requestId: 'q',
    facts: {},
    route: { name: 'r', repeat: RepeatModes.REPEATABLE, maxAttempts: 2, targetLatencyMs: 60_000, streams: false },
    service: { name: 's' },
    method: 'GET',
    path: '/',
    rawHeaders: [],
    deadline: 60_000,
    excluded: new Set(),
    deniedUntil: new Map(),
    stream: { events: 0 },
    signal: new AbortController().signal,
  } as unknown as RoutedWork
  const client = { hasBegun: false, sendBuffered: () => undefined } as unknown as ClientResponse
  let clock: ManualClock
  let server: http.Server
  let received: number
  let agent: BackendAgent
  let budget: WindowBudget
  let opts: RunOptions
  let secondAcquire: Promise<void>
  let grantSecondSlot: () => void

  const createBudget = (fixedAllowance: number): WindowBudget =>
    new WindowBudget({ clock, ratio: 1 / REQUESTS_PER_RETRY, fixedAllowance, windowMs: WINDOW_MS, countInstances: () => 1 })

  beforeEach(async () => {
    clock = new ManualClock()
    received = 0
    server = createServer(() => received++)
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const backend = new Backend({ id: 'b', service: 's', address, dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] })
    const slotMethods = { recordSent: () => undefined, recordResponse: () => undefined, recordPrefilled: () => undefined }
    const slot = { ...slotMethods, backend, choice: { cachedTokens: 0 }, release: () => undefined } as unknown as BackendSlot
    let acquired = 0
    let resolveSecondAcquire = (): void => undefined
    secondAcquire = new Promise((resolve) => {
      resolveSecondAcquire = resolve
    })
    const acquire = (): Promise<BackendSlot> => {
      if (acquired++ === 0) return Promise.resolve(slot)
      resolveSecondAcquire()
      return new Promise((resolve) => {
        grantSecondSlot = () => resolve(slot)
      })
    }
    budget = createBudget(EXTRA_RETRIES)
    agent = new BackendAgent(clock)
    opts = {
      clock,
      agent,
      protocol: {
        buildForwardHeaders: () => ['Host', 'h'],
        readResponse: (_: number, headers: http.IncomingHttpHeaders) => ({ requestId: 'q', isConfirmedByServer: true, notRun: headers.unused !== undefined }),
      },
      suspects: {
        mustReadmit: () => false,
        admit: () => Promise.resolve({ isExclusive: false, release: () => undefined }),
        recordBegun: () => undefined,
        recordServed: () => undefined,
      },
      queue: {
        hasSlotElsewhere: () => true,
        acquireElsewhere: () => undefined,
        isBrittle: () => false,
        checkVersion: () => undefined,
        watchVersion: () => undefined,
      },
      slots: { acquire },
      paths: { inspect: () => Promise.resolve(undefined) },
      fleet: new BackendFleet(),
      reports: { applyResponse: () => undefined },
      log: new NullDecisionLog(),
      findBudget: () => budget,
      responseTimes: new ResponseTimes(),
      held: new HeldBytes({ maxBytes: 1 << 20, readTime: () => 0 }),
    } as unknown as RunOptions
  })

  afterEach(async () => {
    agent.destroy()
    server.closeAllConnections()
    await new Promise((resolve) => server.close(resolve))
  })

  // Otherwise retries that wait for slots would let a service get the retries of two windows within one.
  it('counts it in the budget window in which it is sent, not in the one in which it was permitted', async () => {
    const done = runRequest(opts, work, client)
    await secondAcquire
    await clock.advance(SLOT_WAIT_MS)
    grantSecondSlot()
    await done
    await clock.advance(AFTER_SEND_MS)
    assert.equal(budget.left, EXTRA_RETRIES - 1)
  })

  // Otherwise each retry would lower the budget for good, and callers would soon get the first error of any server.
  it('counts it in no later window', async () => {
    const done = runRequest(opts, work, client)
    await secondAcquire
    grantSecondSlot()
    await done
    await clock.advance(2 * WINDOW_MS)
    assert.equal(budget.left, EXTRA_RETRIES)
  })

  // Otherwise servers would get the retries that earlier requests earned when few requests come any more.
  it('does not send it once the requests that earned it are older than a window', async () => {
    budget = createBudget(0)
    for (let at = 0; at < REQUESTS_PER_RETRY; at++) budget.recordRequest()
    const refused = assert.rejects(runRequest(opts, work, client), { code: 'BACKEND_REFUSED' })
    await secondAcquire
    await clock.advance(2 * WINDOW_MS)
    grantSecondSlot()
    await refused
    assert.equal(received, 1)
  })

  // A server in a slow spell, or with a long prompt ahead, would be ejected for seconds after five silent requests in a row, and its load move elsewhere.
  for (const hasSamples of [true, false]) {
    it(`${hasSamples ? 'never ejects' : 'ejects'} a silent server that ${hasSamples ? 'begins' : 'begins no'} streams of others`, async () => {
      const fleet = new BackendFleet()
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      fleet.put({ id: 'b', service: 's', address, dataHall: 'z', slots: 1, draining: false, models: undefined, inMemory: [], onDisk: [] })
      const backend = fleet.find('b') as Backend
      server.removeAllListeners('request')
      const slot = { ...await opts.slots.acquire(work), backend } as unknown as BackendSlot
      const other = http.createServer((_, response) => response.end('body'))
      await new Promise<void>((resolve) => other.listen(0, '127.0.0.1', resolve))
      const otherAddress = `127.0.0.1:${(other.address() as AddressInfo).port}`
      const otherSlot = { ...slot, backend: new Backend({ ...backend.entry, id: 'other', address: otherAddress }) } as unknown as BackendSlot
      for (let i = 0; i < 5; i++) {
        const arrived = new Promise((resolve) => server.once('request', resolve))
        const slots = { acquire: () => Promise.resolve(slot), acquireElsewhere: () => otherSlot }
        const options = { ...opts, slots, fleet, random: new RandomSource(1) } as unknown as RunOptions
        const done = runRequest(options, { ...work, excluded: new Set() }, client)
        await arrived
        if (hasSamples) fleet.applyPeerPaces([['b', 25, 25, 3, 0]], clock.readTime() + 120_000)
        await Promise.all([done, clock.advance(120_000)])
      }
      other.closeAllConnections()
      other.close()
      assert.equal(backend.outlier.isEjected(clock.readTime()), !hasSamples)
    })
  }

  // A server at work was given up for its silence, and the caller got an error, although no other attempt could begin.
  for (const [reason, parts] of [['the retry budget is used up', {}], ['no other server has room', { hasSlotElsewhere: () => false }]] as const) {
    it(`waits for a silent server while ${reason}`, async () => {
      if (!('hasSlotElsewhere' in parts)) budget = createBudget(0)
      server.removeAllListeners('request')
      const responded = new Promise<http.ServerResponse>((resolve) => server.on('request', (_, response: http.ServerResponse) => resolve(response)))
      const sent: unknown[] = []
      const client = { hasBegun: false, sendBuffered: (_: unknown, body: Buffer) => sent.push(body.toString()) } as unknown as ClientResponse
      const patient = { ...work, excluded: new Set(), deadline: Infinity, route: { ...work.route, targetLatencyMs: TARGET_MS } } as unknown as RoutedWork
      const done = runRequest({ ...opts, random: new RandomSource(1), queue: { ...opts.queue, ...parts } } as unknown as RunOptions, patient, client)
      const response = await responded
      await clock.advance(10 * TARGET_MS)
      response.end('late')
      await done
      assert.deepEqual(sent, ['late'])
    })
  }

  // The error response of an earlier server was sent after the head of a stream that had begun since, which threw.
  it('sends no earlier error response once a stream has begun', async () => {
    let requests = 0
    server.removeAllListeners('request')
    server.on('request', (_, response: http.ServerResponse) => {
      if (requests++ === 0) response.writeHead(500).end()
      else response.writeHead(200, { 'content-type': 'text/event-stream' }).end('id: 1\ndata: a\n\nid')
    })
    const slot = { ...await opts.slots.acquire(work), recordPace: () => undefined } as unknown as BackendSlot
    const slots = [slot, slot]
    const reserved = { acquire: () => Promise.resolve(slots.shift() ?? Promise.reject(new Error('No slot'))) }
    const suspects = { ...opts.suspects, checkServerEnd: () => Promise.resolve(undefined) }
    const sent: string[] = []
    const stream = {
      hasBegun: false,
      beginStream: () => {
        stream.hasBegun = true
      },
      write: () => sent.push('events') > 0,
      sendBuffered: () => sent.push('error response'),
    }
    const route = { ...work.route, streams: true, maxAttempts: 3, targets: [{ service: 's', weight: 1 }] }
    const streamed = { ...work, route, excluded: new Set(), stream: createStreamProgress(undefined) } as unknown as RoutedWork
    const parts = { slots: reserved, suspects, random: new RandomSource(1), flusher: new StreamFlusher(clock), origins: { record: () => undefined } }
    const options = { ...opts, ...parts } as unknown as RunOptions
    await assert.rejects(runRequest(options, streamed, stream as unknown as ClientResponse), /No slot/)
    assert.deepEqual(sent, ['events'])
  })

  // A resumed stream may end without a further event, which says nothing of whether servers crash when they begin to write.
  for (const body of ['', 'id: 2\ndata: b\n\n']) {
    it(`${body === '' ? 'does not clear' : 'clears'} what the request shares with others when the response has ${body === '' ? 'no event' : 'an event'}`, async () => {
      server.removeAllListeners('request')
      server.on('request', (_, response: http.ServerResponse) => response.writeHead(200, { 'content-type': 'text/event-stream' }).end(body))
      const slot = { ...await opts.slots.acquire(work), recordPace: () => undefined } as unknown as BackendSlot
      let served = 0
      const suspects = { ...opts.suspects, recordServed: () => served++ }
      const route = { ...work.route, streams: true, targets: [{ service: 's', weight: 1 }] }
      const resumed = { ...work, route, excluded: new Set(), stream: createStreamProgress('1') } as unknown as RoutedWork
      const stream = { hasBegun: false, beginStream: () => undefined, write: () => true, endStream: () => undefined, onDrain: () => undefined }
      const slots = { acquire: () => Promise.resolve(slot) }
      const fleet = { recordReached: () => undefined, recordOutcome: () => undefined }
      const options = { ...opts, slots, suspects, fleet, flusher: new StreamFlusher(clock), origins: { record: () => undefined } } as unknown as RunOptions
      await runRequest(options, resumed, stream as unknown as ClientResponse)
      assert.equal(served, body === '' ? 0 : 1)
    })
  }
})
