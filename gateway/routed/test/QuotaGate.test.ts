import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { QuotaUnits, type Team } from '@pulleystack/config.routes'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { TeamLimits, type RateVerdict } from '@pulleystack/routing.limits'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import { QuotaGate } from '../src/index.js'

const QUOTA = { unit: QuotaUnits.TOKENS, ratePerSecond: 100, burst: 100, plainTokens: 20 }
const TEAM: Team = { name: 'valuers', keyHashes: [], priority: undefined, quota: QUOTA }
const RETRY_AFTER_MS = 1_250

/** Grants or refuses as told, and keeps what was asked for. */
class TestLimits extends TeamLimits {
  verdict: RateVerdict = { isGranted: true }
  readonly asked: number[] = []
  readonly returned: number[] = []

  override acquire (_team: Team, units: number): Promise<RateVerdict> {
    this.asked.push(units)
    return Promise.resolve(this.verdict)
  }

  override giveBack (_team: Team, units: number): void {
    this.returned.push(units)
  }

  override start (): void {
    // Nobody else is told.
  }
}

describe('the gate for quotas', () => {
  let limits: TestLimits
  let gate: QuotaGate
  let counted: [outcome: string, units: number][]

  beforeEach(() => {
    limits = new TestLimits()
    counted = []
    gate = new QuotaGate({ log: new SilentDecisionLog(), limits, onUnits: (_, outcome, units) => counted.push([outcome, units]) })
  })

  it('counts the tokens that a request names, and what is usual for one that names none', async () => {
    await gate.admit({ requestId: 'q', team: TEAM, tokens: 70 })
    await gate.admit({ requestId: 'q', team: TEAM, tokens: undefined })
    assert.deepEqual(limits.asked, [70, 20])
  })

  it('counts requests where the quota does', async () => {
    await gate.admit({ requestId: 'q', team: { ...TEAM, quota: { ...QUOTA, unit: QuotaUnits.REQUESTS } }, tokens: 70 })
    assert.deepEqual(limits.asked, [1])
  })

  it('asks for nothing for a team without quota, and without a team', async () => {
    await gate.admit({ requestId: 'q', team: { ...TEAM, quota: undefined }, tokens: 70 })
    await gate.admit({ requestId: 'q', team: undefined, tokens: 70 })
    assert.deepEqual(limits.asked, [])
  })

  it('refuses what is beyond the quota with when to come back, and says that it has not run', async () => {
    limits.verdict = { isGranted: false, retryAfterMs: RETRY_AFTER_MS }
    const refusal = await gate.admit({ requestId: 'q', team: TEAM, tokens: 70 }).catch((error: PulleystackError) => error)
    assert.ok(refusal instanceof PulleystackError)
    assert.equal(refusal.row.status, 429)
    assert.equal(refusal.ran, Ran.NO)
    assert.equal(refusal.retryAfterSeconds, RETRY_AFTER_MS / 1000)
    assert.deepEqual(counted, [['refused', 70]])
  })

  describe('with a request that was let in', () => {
    const settle = async (ran: Ran): Promise<void> => {
      const use = await gate.admit({ requestId: 'q', team: TEAM, tokens: 70 })
      use.settle(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'failed', { ran }))
    }

    it('takes its units back when it surely never ran', async () => {
      await settle(Ran.NO)
      assert.deepEqual(limits.returned, [70])
      assert.deepEqual(counted, [['granted', 70], ['given-back', 70]])
    })

    for (const ran of [Ran.UNKNOWN, Ran.YES]) {
      it(`keeps them counted when that it ran is "${ran}"`, async () => {
        await settle(ran)
        assert.deepEqual(limits.returned, [])
      })
    }
  })
})
