import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { ConflictKinds, findConflicts, type OrderCopy, type UnansweredCopy } from '../src/index.js'

const BOUNDS = { gapMs: 3_000, travelMs: 12_000 }

function answered (sentAt: number, holder: string, fence: number): OrderCopy {
  const settled = { at: sentAt + 4, answer: 'taken', copies: 1, ms: 4 }
  const order = { id: `o${sentAt}`, copy: 1, backend: 's', action: 'load', model: 'm', adapter: undefined, sequence: 1, origin: 'expired', permitMs: 500 }
  return { ...order, sentAt, holder, fence, settled, unanswered: undefined }
}

function lost (sentAt: number, holder: string, fence: number, written?: boolean): OrderCopy {
  const unanswered: UnansweredCopy = { at: sentAt + 350, ms: 350, reason: 'timeout', written }
  return { ...answered(sentAt, holder, fence), settled: undefined, unanswered }
}

function list (copies: readonly OrderCopy[]): [string, number, number[]][] {
  return findConflicts(copies, BOUNDS).map(({ kind, copy, earlier }) => [kind, copy.sentAt, earlier.map(({ sentAt }) => sentAt)])
}

describe('findConflicts', () => {
  describe('of orders of two holders', () => {
    it('finds those closer than the gap, and none at the gap', () => {
      assert.deepEqual(list([answered(0, 'e1', 1), answered(2_999, 'e2', 2)]), [[ConflictKinds.TOO_CLOSE, 2_999, [0]]])
      assert.deepEqual(list([answered(0, 'e1', 1), answered(3_000, 'e2', 2)]), [])
    })

    it('finds each turn once', () => {
      const copies = [answered(0, 'e1', 1), answered(100, 'e2', 2), answered(200, 'e2', 2), answered(300, 'e1', 3)]
      assert.deepEqual(list(copies), [[ConflictKinds.TOO_CLOSE, 100, [0]], [ConflictKinds.TOO_CLOSE, 300, [200]]])
    })

    it('leaves out an order of which nothing was written', () => {
      assert.deepEqual(list([lost(0, 'e1', 1, false), answered(100, 'e2', 2)]), [])
    })
  })

  describe('of fences', () => {
    it('finds a lower one after a higher one, however much later', () => {
      assert.deepEqual(list([answered(0, 'e2', 2), answered(60_000, 'e1', 1)]), [[ConflictKinds.LOWER_FENCE, 60_000, [0]]])
    })

    it('finds one of two holders', () => {
      assert.deepEqual(list([answered(0, 'e1', 2), answered(60_000, 'e2', 2)]), [[ConflictKinds.SHARED_FENCE, 60_000, [0]]])
    })
  })

  describe('of orders without an answer', () => {
    it('finds those that may still arrive when another holder begins, also if the log does not tell whether they were written', () => {
      for (const written of [true, undefined]) {
        const copies = [lost(0, 'e1', 1, written), lost(400, 'e1', 1, written), answered(11_999, 'e2', 2), answered(12_100, 'e2', 2)]
        assert.deepEqual(list(copies), [[ConflictKinds.LATE_ARRIVAL, 11_999, [0, 400]]])
      }
    })

    it('leaves out those whose time on the way is over, and those that were answered', () => {
      assert.deepEqual(list([lost(0, 'e1', 1), answered(5_000, 'e1', 1), answered(12_000, 'e2', 2)]), [])
    })

    it('counts an order whose end is not logged', () => {
      assert.deepEqual(list([{ ...answered(0, 'e1', 1), settled: undefined }, answered(5_000, 'e2', 2)]), [[ConflictKinds.LATE_ARRIVAL, 5_000, [0]]])
    })

    it('counts those of the same instance that has lost the lease and taken it again', () => {
      assert.deepEqual(list([lost(0, 'e1', 1), answered(5_000, 'e1', 3)]), [[ConflictKinds.LATE_ARRIVAL, 5_000, [0]]])
    })

    it('counts an uncertain order of before orders had ids', () => {
      const uncertain = { ...answered(0, 'e1', 1), id: undefined, settled: { at: 1_000, answer: 'uncertain', copies: undefined, ms: undefined } }
      assert.deepEqual(list([uncertain, answered(5_000, 'e2', 2)]), [[ConflictKinds.LATE_ARRIVAL, 5_000, [0]]])
    })
  })

  it('finds nothing in turns that are answered, a gap apart and of rising fences', () => {
    const turn = fc.record({ orders: fc.integer({ min: 1, max: 4 }), pauseMs: fc.integer({ min: 3_000, max: 9_000 }) })
    fc.assert(fc.property(fc.array(turn, { maxLength: 6 }), (turns) => {
      let at = 0
      const copies = turns.flatMap(({ orders, pauseMs }, i) => {
        at += pauseMs
        return Array.from({ length: orders }, () => answered(at += 50, `e${i}`, i + 1))
      })
      assert.deepEqual(list(copies), [])
    }))
  })
})
