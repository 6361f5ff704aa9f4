import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { DecisionKinds, DecisionLog, WatchedDecisionLog } from '../src/index.js'

class KindLog extends DecisionLog {
  readonly kinds: unknown[] = []

  override record (kind: unknown): void {
    this.kinds.push(kind)
  }
}

describe('WatchedDecisionLog', () => {
  it('passes on all lines, and the facts of watched ones to each subscriber', () => {
    const target = new KindLog()
    const log = new WatchedDecisionLog(target)
    const fences: number[] = []
    for (const factor of [1, 10]) log.watch(DecisionKinds.LEASE_LOST).subscribe(({ fence }) => fences.push(fence * factor))
    log.record(DecisionKinds.LEASE_LOST, { fence: 3 })
    log.record(DecisionKinds.HOLDER_CHANGED, { holder: 'e1', fence: 4 })
    assert.deepEqual(target.kinds, ['lease-lost', 'holder-changed'])
    assert.deepEqual(fences, [3, 30])
  })
})
