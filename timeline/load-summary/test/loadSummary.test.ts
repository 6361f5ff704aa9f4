import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { parseLogLine, readLogChunks } from '@pulleystack/timeline.story'
import { LoadSummaryBuilder, computePercentile, formatLoadJsonLines, formatLoadTables, type LoadSummary } from '../src/index.js'

interface WrittenLine {
  /** Simulated time in seconds. */
  at: number
  instance?: string
  kind: string
  fields: Record<string, unknown>
}

function writeLine ({ at, instance = 'front-b-1', kind, fields }: WrittenLine): string {
  const time = new Date(1_000_000 + at * 1_000).toISOString()
  return `  ${at.toFixed(4)} ${instance} ${JSON.stringify({ name: instance, hostname: 'h', pid: 1, level: 30, ...fields, msg: kind, time, v: 0 })}`
}

function wait (at: number, request: string, reason: string, instance?: string): string {
  return writeLine({ at, instance, kind: 'request-waiting', fields: { request, reason, service: 's', weights: 'm' } })
}

function send (at: number, request: string, backend: string, load: { running: number, prefillTokens: number, model?: string }): string {
  return writeLine({ at, kind: 'attempt-sent', fields: { request, backend, send: 1, ...load } })
}

function end (at: number, request: string, fields: Record<string, unknown>, instance?: string): string {
  return writeLine({ at, instance, kind: 'request-ended', fields: { request, route: 'digests', service: 's', status: 200, code: 'OK', ...fields } })
}

async function* cutText (text: string, size: number): AsyncGenerator<string> {
  for (let at = 0; at < text.length; at += size) yield await Promise.resolve(text.slice(at, at + size))
}

async function summarize (log: readonly string[], opts: { allowedPauseMs?: number, chunkSize?: number } = {}): Promise<LoadSummary> {
  const builder = new LoadSummaryBuilder(opts)
  await readLogChunks(cutText(log.join('\n'), opts.chunkSize ?? 1_000), builder)
  return builder.build()
}

const IDLE = { running: 2, prefillTokens: 0, model: 'm1' }
const BUSY = { running: 30, prefillTokens: 4_200, model: 'm2' }
const STREAMS = [
  send(1, 'q1', 'fast', IDLE),
  send(1, 'q2', 'slow', BUSY),
  send(1, 'q3', 'slow', BUSY),
  'simulated machine front-b-2 {started}',
  send(1.2, 'q4', 'slow', BUSY),
  writeLine({ at: 1.5, kind: 'stream-resumed', fields: { request: 'q4', after: '7' } }),
  send(1.6, 'q4', 'fast', IDLE),
  '  1.7000 front-b-1 {"name":"front-b-1","msg":"request-ended","request":"q1","sta',
  end(2, 'q1', { ms: 1_100, firstMs: 300, longestPauseMs: 25, events: 40 }),
  end(2, 'q2', { ms: 1_000, firstMs: 200, longestPauseMs: 250, events: 40 }),
  end(2, 'q3', { ms: 1_000, firstMs: 900, longestPauseMs: 251, events: 40 }),
  end(3, 'q4', { ms: 1_800, firstMs: 100, longestPauseMs: 700, events: 40 }),
]

describe('computePercentile', () => {
  it('returns a sample that the share of all samples does not exceed, and no larger one', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 0, max: 50 }), { minLength: 1 }), fc.constantFrom(0.5, 0.9, 0.99, 1), (samples, share) => {
      const value = computePercentile(samples, share) as number
      assert.ok(samples.filter((sample) => sample <= value).length >= samples.length * share)
      assert.ok(samples.filter((sample) => sample < value).length < samples.length * share)
    }))
    assert.equal(computePercentile([], 0.5), undefined)
  })
})

describe('readLogChunks', () => {
  it('measures with the simulated time of the prefix, since the wall clock of a simulated machine may be stepped', async () => {
    const steppedEnd = send(1.25, 'q1', 'r1', IDLE).replace('1970-01-01T00:16:41', '1970-01-01T00:16:11')
    const { waits } = await summarize([wait(1, 'q1', 'full'), steppedEnd])
    assert.equal(waits[0]?.ms50, 250)
  })

  // Simulated days begin before zero, where the processes start.
  it('reads a simulated time before zero, which was taken for no time', () => {
    assert.equal(parseLogLine(wait(-9.125, 'q1', 'full'))?.at, -9_125)
  })

  it('measures with the wall-clock time of lines without a prefix, or with one of another kind', () => {
    const json = wait(3, 'q1', 'full').replace(/^[^{]*/, '')
    for (const text of [json, `entry-1: ${json}`]) assert.equal(parseLogLine(text)?.at, 1_003_000)
  })

  it('skips and counts garbled lines', async () => {
    const { lines, skippedLines } = await summarize(STREAMS)
    assert.deepEqual({ lines, skippedLines }, { lines: 10, skippedLines: 2 })
  })

  it('loses no line that is divided between chunks', async () => {
    const whole = await summarize(STREAMS)
    for (const chunkSize of [1, 7, 64, 311]) assert.deepEqual(await summarize(STREAMS, { chunkSize }), whole)
  })
})

describe('LoadSummaryBuilder', () => {
  it('attributes pauses and queued prompt tokens to the server that caused them, without resumed streams', async () => {
    const { servers } = await summarize(STREAMS, { allowedPauseMs: 250 })
    assert.deepEqual(servers.map(({ name, streams, resumed, overPauseShare }) => ({ name, streams, resumed, overPauseShare })), [
      { name: 'slow', streams: 2, resumed: 0, overPauseShare: 0.5 },
      { name: 'fast', streams: 1, resumed: 1, overPauseShare: 0 },
    ])
    const [slow, fast] = servers
    assert.deepEqual([slow?.firstMs50, slow?.firstMs90, slow?.longestPauseMs, slow?.running50, slow?.prefillTokens90], [200, 900, 251, 30, 4_200])
    assert.deepEqual([fast?.firstMs50, fast?.sentFirstMs50, fast?.longestPauseMs, fast?.prefillTokens50], [300, 200, 25, 0])
  })

  it('counts resumed streams by route and by the model of the last attempt, since clients see their pauses', async () => {
    const { models, routes, streams } = await summarize(STREAMS, { allowedPauseMs: 250 })
    assert.deepEqual(models.map(({ name, streams: count, overPauseShare }) => [name, count, overPauseShare]), [['m1', 2, 0.5], ['m2', 2, 0.5]])
    assert.deepEqual([routes[0]?.name, routes[0]?.streams, routes[0]?.longestPauseMs], ['digests', 4, 700])
    assert.equal(streams.overPauseShare, 0.5)
    assert.equal((await summarize(STREAMS)).streams.overPauseShare, undefined)
  })

  it('matches each wait with its outcome, and keeps requests with the same id on different instances apart', async () => {
    const { waits, unfinished } = await summarize([
      wait(1, 'served', 'full'),
      wait(1, 'rejected', 'not-resident'),
      wait(1, 'expired', 'not-resident'),
      wait(1, 'gone', 'not-resident'),
      wait(1, 'open', 'full'),
      wait(1, 'same', 'reading'),
      wait(1, 'same', 'reading', 'front-b-2'),
      wait(1.1, 'served', 'reading'),
      end(1.2, 'same', { status: 503, code: 'OVERLOADED', ms: 200 }, 'front-b-2'),
      send(1.5, 'same', 'r1', IDLE),
      send(1.4, 'served', 'r1', IDLE),
      end(2, 'served', { status: 499, code: 'CALLER_GONE', ms: 1_000 }),
      end(2.5, 'rejected', { status: 503, code: 'NO_RUNNER', ms: 1_500 }),
      end(13, 'expired', { status: 504, code: 'DEADLINE_NOT_RUN', ms: 12_000 }),
      end(3, 'gone', { status: 499, code: 'CALLER_GONE', ms: 2_000 }),
    ])
    assert.equal(unfinished, 2)
    assert.deepEqual(waits.map(({ reason, outcome, count, ms50 }) => [reason, outcome, count, ms50]).sort(), [
      ['full', 'open', 1, undefined],
      ['full', 'served', 1, 400],
      ['not-resident', 'client-gone', 1, 2_000],
      ['not-resident', 'expired', 1, 12_000],
      ['not-resident', 'rejected', 1, 1_500],
      ['reading', 'rejected', 1, 200],
      ['reading', 'served', 1, 500],
    ])
  })

  it('groups requests without success by reason whatever ids and durations the reason contains, and counts relayed errors of servers', async () => {
    const { failures, requests, succeeded } = await summarize([
      end(1, 'q1', { status: 503, code: 'NO_RUNNER', reason: 'Nobody loads kaxa21351c: no holder', ms: 10 }),
      end(1, 'q2', { status: 503, code: 'NO_RUNNER', reason: 'Nobody loads mo7: no holder', ms: 30 }),
      end(1, 'q3', { status: 500, ms: 5 }),
      end(1, 'q4', { ms: 5 }),
    ])
    assert.deepEqual([requests, succeeded], [4, 1])
    assert.deepEqual(failures, [
      { status: 503, code: 'NO_RUNNER', reason: 'Nobody loads # no holder', count: 2, heldMs50: 10, heldMs90: 30, heldMsMax: 30 },
      { status: 500, code: 'OK', reason: '', count: 1, heldMs50: 5, heldMs90: 5, heldMsMax: 5 },
    ])
  })

  it('counts a relayed request once, at the instance that served it, unless relaying failed', async () => {
    const relay = (request: string): string => writeLine({ at: 1, instance: 'standby', kind: 'request-relayed', fields: { request, peer: 'front-b-1' } })
    const { requests, relayed, failures } = await summarize([
      relay('q1'),
      relay('q2'),
      end(2, 'q1', { status: 503, code: 'OVERLOADED', ms: 10 }),
      end(2, 'q1', { status: 503, ms: 12 }, 'standby'),
      end(2, 'q2', { status: 502, code: 'ATTEMPT_FAILED_UNKNOWN', ms: 12 }, 'standby'),
    ])
    assert.deepEqual([requests, relayed, failures.map(({ code }) => code)], [2, 1, ['OVERLOADED', 'ATTEMPT_FAILED_UNKNOWN']])
  })

  it('counts loads by source and orders by answer, also those without one', async () => {
    const load = { model: 'm1', victims: ['m2', 'm3'], requestsPerSecond: 2, places: 60, copies: 0 }
    const { loads, orders } = await summarize([
      writeLine({ at: 1, kind: 'load-planned', fields: { ...load, fromStore: true } }),
      writeLine({ at: 2, kind: 'load-planned', fields: { ...load, fromStore: true, copies: 2, places: 170 } }),
      ...[1, 2, 3].map((at) => writeLine({ at, kind: 'order-sent', fields: { action: 'load' } })),
      ...[2, 3].map((at) => writeLine({ at, kind: 'order-settled', fields: { action: 'load', answer: 'taken' } })),
    ])
    assert.deepEqual(loads, [
      { source: 'store', loads: 2, models: 1, victims: 4, withoutCopy: 1, copies50: 0, copies90: 2, inFlight50: 60, inFlight90: 170, requestsPerSecond50: 2 },
    ])
    assert.deepEqual(orders, [{ action: 'load', answer: 'taken', count: 2 }, { action: 'load', answer: 'open', count: 1 }])
  })
})

describe('formats', () => {
  it('contain the same rows as tables and as JSON lines', async () => {
    const summary = await summarize(STREAMS, { allowedPauseMs: 250 })
    const rows = formatLoadJsonLines(summary).split('\n').map((line) => JSON.parse(line) as Record<string, unknown>)
    assert.deepEqual(rows.map(({ table }) => table), ['total', 'streams', 'servers', 'servers', 'models', 'models', 'routes'])
    const text = formatLoadTables(summary)
    assert.match(text, /^servers\nname +streams +resumed +overPauseShare .*\nslow +2 +0 +0\.5 /m)
    assert.equal(text.split('\n').filter((line) => /^(all|slow|fast|m1|m2|digests) /.test(line)).length, 6)
    assert.doesNotMatch(text, /^waits$/m)
  })
})
