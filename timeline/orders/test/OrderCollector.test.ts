import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { readLogChunks } from '@pulleystack/timeline.story'
import { OrderCollector, renderOrderHistory, type OrderHistory } from '../src/index.js'

type Row = [at: number, instance: string, kind: string, fields: Record<string, unknown>]

const BOUNDS = { gapMs: 3_000, travelMs: 12_000 }
const LOAD = { backend: 's1', action: 'load', model: 'm' }
const UNLOAD = { backend: 's1', action: 'unload', model: 'm', adapter: 'a1' }

function collect (rows: readonly Row[]): OrderHistory {
  const collector = new OrderCollector()
  for (const [at, instance, kind, fields] of rows) collector.add({ at, instance, kind, fields })
  return collector.build()
}

function sent (at: number, holder: string, fence: number, order: string, more: Record<string, unknown> = {}): Row {
  return [at, holder, 'order-sent', { ...LOAD, order, copy: 1, sequence: 4, fence, origin: 'expired', permitMs: 700, ...more }]
}

function unanswered (at: number, holder: string, order: string, more: Record<string, unknown> = {}): Row {
  return [at, holder, 'order-unanswered', { order, backend: 's1', ms: 350, reason: 'timeout', ...more }]
}

function settled (at: number, holder: string, order: string, answer: string, copies = 1): Row {
  return [at, holder, 'order-settled', { ...LOAD, order, copies, ms: 4, answer }]
}

describe('OrderCollector', () => {
  describe('with orders that have ids', () => {
    const history = collect([
      sent(5_000, 'e2', 2, 'o3'),
      sent(1_000, 'e1', 1, 'o1'),
      unanswered(1_350, 'e1', 'o1', { written: true }),
      sent(1_351, 'e1', 1, 'o2', { copy: 2 }),
      settled(1_355, 'e1', 'o2', 'taken', 2),
      sent(1_100, 'e1', 1, 'o4', { backend: 's0' }),
    ])

    it('lists the copies of all instances by server, in the order of time', () => {
      assert.deepEqual(history.servers.map(({ backend, copies }) => [backend, copies.map(({ id }) => id)]), [['s0', ['o4']], ['s1', ['o1', 'o2', 'o3']]])
    })

    it('joins each copy with how it ended', () => {
      const [first, second, third] = history.servers[1]?.copies ?? []
      assert.deepEqual([first?.unanswered, first?.settled], [{ at: 1_350, ms: 350, reason: 'timeout', written: true }, undefined])
      assert.deepEqual([second?.copy, second?.unanswered, second?.settled], [2, undefined, { at: 1_355, answer: 'taken', copies: 2, ms: 4 }])
      assert.deepEqual([third?.unanswered, third?.settled], [undefined, undefined])
    })
  })

  describe('with logs of before orders had ids', () => {
    const history = collect([
      [1_000, 'e1', 'order-sent', { ...LOAD, sequence: 0, fence: 1 }],
      [1_001, 'e1', 'order-sent', { ...UNLOAD, sequence: 1, fence: 1 }],
      [1_500, 'e1', 'order-settled', { ...UNLOAD, answer: 'uncertain' }],
      [1_600, 'e1', 'order-settled', { ...LOAD, answer: 'taken' }],
      [2_000, 'e1', 'order-sent', { ...LOAD, sequence: 2, fence: 1 }],
      [2_000, 'e2', 'order-settled', { ...LOAD, answer: 'holds' }],
    ])

    it('joins an answer with the newest order of the same instance and content', () => {
      assert.deepEqual(history.servers[0]?.copies.map(({ settled: result }) => result?.answer), ['taken', 'uncertain', undefined])
    })
  })

  describe('with changes of the holder', () => {
    const history = collect([
      [2_000, 'e1', 'lease-lost', { fence: 1 }],
      [1_000, 'e1', 'lease-taken', { fence: 1, origin: 'expired', heldOff: [] }],
      [2_500, 'e2', 'holder-changed', { holder: 'e3', fence: 2 }],
      [2_400, 'e1', 'holder-changed', { holder: 'e3', fence: 2 }],
      [1_200, 'e2', 'holder-changed', { holder: 'e1', fence: 1 }],
      [1_300, 'e1', 'event-loop-delayed', { ms: 20 }],
      [1_400, 'e1', 'event-loop-delayed', { ms: 900 }],
      [1_500, 'e2', 'event-loop-delayed', { ms: 900 }],
    ])

    it('lists what befell the holders, and one whose log is missing as another instance saw it', () => {
      const kinds = history.holders.map(({ at, instance, kind, seenBy }) => [at, instance, kind, seenBy])
      assert.deepEqual(kinds, [
        [1_000, 'e1', 'lease-taken', 1],
        [1_400, 'e1', 'event-loop-delayed', 0],
        [2_000, 'e1', 'lease-lost', 0],
        [2_400, 'e1', 'holder-changed', 2],
      ])
    })

    it('names who took the lease before where the line does not tell the former holder', () => {
      const taken = (at: number, instance: string, fields = {}): Row => [at, instance, 'lease-taken', { fence: at, ...fields }]
      const { holders } = collect([taken(1, 'e1'), taken(2, 'e2'), taken(3, 'e3', { former: 'e1' })])
      assert.deepEqual(holders.map(({ fields }) => [fields['former'], fields['after']]), [[undefined, undefined], [undefined, 'e1'], ['e1', undefined]])
    })
  })
})

describe('renderOrderHistory', () => {
  const rows: Row[] = [
    sent(1_000, 'e1', 1, 'o1', { adapter: 'a1' }),
    unanswered(1_350, 'e1', 'o1'),
    [1_360, 'e1', 'order-settled', { ...LOAD, order: 'o1', copies: 1, ms: 360, answer: 'uncertain' }],
    [3_000, 'e2', 'lease-taken', { fence: 2, origin: 'handed-over', former: 'e1', heldOff: [['s1', 12_000], ['s2', 400]] }],
    sent(3_500, 'e2', 2, 'o2'),
    settled(3_504, 'e2', 'o2', 'taken'),
  ]

  it('shows each order with its holder, fence, permit and end, and marks those that conflict', () => {
    assert.equal(renderOrderHistory(collect(rows), BOUNDS), `times are milliseconds of simulated time
holders
    3000 ms   e2 lease-taken fence=2 origin="handed-over" former="e1" heldOff=[["s1",12000],["s2",400]] seenBy=0
server s1
    1000 ms   e1 load m/a1 fence=1 origin=expired permitMs=700 sequence=4 copy=1 order=o1: no answer after 350 ms (timeout); uncertain at 1360, after 360 ms
    3500 ms ! e2 load m fence=2 origin=expired permitMs=700 sequence=4 copy=1 order=o2: taken at 3504, after 4 ms
            ! too close: 2500 ms after the order of e1 at 1000 (fence 1), 3000 ms are the least
            ! late arrival: the order of e1 at 1000 (fence 1) got no answer and may arrive until 13000
conclusion: 2 holders sent 2 orders to 1 servers; too close: 1, first at 3500 to s1; lower fence: 0; shared fence: 0; late arrival: 1, first at 3500 to s1`)
  })

  it('tells when the server is past the sequence numbers of all orders that may still arrive', () => {
    const lose = (at: number, order: string, sequence: number): Row[] => [sent(at, 'e1', 1, order, { sequence }), unanswered(at + 350, 'e1', order)]
    const show = (sequence: number): string => renderOrderHistory(collect([...lose(0, 'o1', 2), ...lose(400, 'o2', 3), sent(9_000, 'e2', 2, 'o3', { sequence })]), BOUNDS)
    assert.match(show(3), /may arrive until 12400, 1 more before it$/m)
    assert.match(show(4), /may arrive until 12400, 1 more before it; the server is past their sequence numbers and would refuse them$/m)
  })

  it('counts from the first line where times are of the wall clock, and tells of missing lines', () => {
    const startAt = Date.parse('2026-12-05T10:00:00Z')
    const text = renderOrderHistory(collect([sent(startAt, 'e1', 1, 'o1'), [startAt, 'e1', 'lines-dropped', { dropped: 7 }]]), BOUNDS)
    assert.match(text, /^times are milliseconds since 2026-12-05T10:00:00\.000Z, by the clock of each instance\n/)
    assert.match(text, /^ {7}0 ms {3}e1 load m .*: its end is not logged\n7 lines are missing in the logs$/m)
  })

  it('reads the lines of several machines from one text, as a simulated day writes them', async () => {
    const collector = new OrderCollector()
    const lines = rows.map(([at, instance, kind, fields]) => `  ${(at / 1_000).toFixed(4)} ${instance} ${JSON.stringify({ name: instance, ...fields, msg: kind, time: new Date(0) })}`)
    await readLogChunks((async function* () {
      yield await Promise.resolve(['built in 2.6 s', ...lines, 'snapshot'].join('\n'))
    })(), collector)
    assert.equal(renderOrderHistory(collector.build(), BOUNDS), renderOrderHistory(collect(rows), BOUNDS))
  })
})
