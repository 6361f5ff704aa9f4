import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { QuotaUnits, type Team } from '@pulleystack/config.routes'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { TeamLimits, type RateVerdict } from '@pulleystack/routing.limits'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { QuotaGate } from '../src/index.js'

const QUOTA = { unit: QuotaUnits.TOKENS, ratePerSecond: 100, burst: 100, plainTokens: 20 }
const TEAM: Team = { name: 'valuers', keyHashes: [], priority: undefined, quota: QUOTA }
const RETRY_AFTER_MS = 1_250

/** Returns a fixed verdict and records the units acquired and returned. */
class TestLimits extends TeamLimits {
  verdict: RateVerdict = { isGranted: true }
  readonly acquired: number[] = []
  readonly givenBack: number[] = []

  override acquire (_team: Team, units: number): Promise<RateVerdict> {
    this.acquired.push(units)
    return Promise.resolve(this.verdict)
  }

  override release (_team: Team, units: number): void {
    this.givenBack.push(units)
  }

  override start (): void {
    // No other instances.
  }
}

describe('QuotaGate', () => {
  let limits: TestLimits
  let gate: QuotaGate
  let counted: [outcome: string, units: number][]

  beforeEach(() => {
    limits = new TestLimits()
    counted = []
    gate = new QuotaGate({ log: new NullDecisionLog(), limits, onUnits: (_, outcome, units) => counted.push([outcome, units]) })
  })

  it('counts the tokens declared by a request, or the default of the quota', async () => {
    await gate.admit({ requestId: 'q', team: TEAM, tokens: 70 })
    await gate.admit({ requestId: 'q', team: TEAM, tokens: undefined })
    assert.deepEqual(limits.acquired, [70, 20])
  })

  it('counts requests for a quota in requests', async () => {
    await gate.admit({ requestId: 'q', team: { ...TEAM, quota: { ...QUOTA, unit: QuotaUnits.REQUESTS } }, tokens: 70 })
    assert.deepEqual(limits.acquired, [1])
  })

  it('acquires nothing without a quota or without a team', async () => {
    await gate.admit({ requestId: 'q', team: { ...TEAM, quota: undefined }, tokens: 70 })
    await gate.admit({ requestId: 'q', team: undefined, tokens: 70 })
    assert.deepEqual(limits.acquired, [])
  })

  it('rejects a request beyond the quota as not run, with a retry delay', async () => {
    limits.verdict = { isGranted: false, retryAfterMs: RETRY_AFTER_MS }
    const rejection = await gate.admit({ requestId: 'q', team: TEAM, tokens: 70 }).catch((error: PulleystackError) => error)
    assert.ok(rejection instanceof PulleystackError)
    assert.equal(rejection.resultCode.status, 429)
    assert.equal(rejection.ran, Ran.NO)
    assert.equal(rejection.retryAfterSeconds, RETRY_AFTER_MS / 1000)
    assert.deepEqual(counted, [['refused', 70]])
  })

  describe('for an admitted request', () => {
    const settle = async (ran: Ran): Promise<void> => {
      const use = await gate.admit({ requestId: 'q', team: TEAM, tokens: 70 })
      use.settle(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'failed', { ran }))
    }

    it('returns the units if it never ran', async () => {
      await settle(Ran.NO)
      assert.deepEqual(limits.givenBack, [70])
      assert.deepEqual(counted, [['granted', 70], ['given-back', 70]])
    })

    for (const ran of [Ran.UNKNOWN, Ran.YES]) {
      it(`keeps the units if its run state is "${ran}"`, async () => {
        await settle(ran)
        assert.deepEqual(limits.givenBack, [])
      })
    }
  })
})
