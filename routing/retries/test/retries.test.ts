import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { checkProperty } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { computeBackoff, listUsable, OutlierDetector, RetryBudget } from '../src/index.js'

describe('RetryBudget', () => {
  it('never allows more than a tenth of the requests plus the initial five', async () => {
    await checkProperty([fc.array(fc.boolean(), { maxLength: 500 })], (isRequest) => {
      const budget = new RetryBudget()
      let requests = 0
      let retries = 0
      for (const it of isRequest) {
        if (it) {
          budget.recordRequest()
          requests++
        } else if (budget.take()) retries++
        assert.ok(retries <= requests * 0.1 + 5 + 1e-9, `${retries} retries after ${requests} requests`)
      }
    }, 200)
  })

  it('allows one retry in ten when every request fails', () => {
    const budget = new RetryBudget()
    let retries = 0
    for (let i = 0; i < 1_000; i++) {
      budget.recordRequest()
      if (budget.take()) retries++
    }
    assert.ok(retries >= 103 && retries <= 105, `${retries}`)
  })
})

describe('OutlierDetector', () => {
  function eject (detector: OutlierDetector, now: number): boolean {
    return Array.from({ length: 5 }, () => detector.recordFailure(now, 0.5)).includes(true)
  }

  it('ejects a server after five consecutive failures and readmits it later', () => {
    const detector = new OutlierDetector()
    assert.equal(eject(detector, 0), true)
    assert.equal(detector.isEjected(1_000), true)
    assert.equal(detector.isEjected(2_500), false)
  })

  it('ejects it for longer each time', () => {
    const detector = new OutlierDetector()
    eject(detector, 0)
    eject(detector, 10_000)
    assert.equal(detector.isEjected(13_000), true)
  })

  it('ignores failures that alternate with successes', () => {
    const detector = new OutlierDetector()
    for (let i = 0; i < 50; i++) {
      assert.equal(detector.recordFailure(i, 0.5), false)
      detector.recordSuccess()
    }
  })

  it('uses all servers when more than half are ejected', () => {
    const servers = Array.from({ length: 4 }, () => ({ outlier: new OutlierDetector(), isSilent: () => false }))
    servers.slice(0, 2).forEach((server) => eject(server.outlier, 0))
    assert.equal(listUsable(servers, 100).length, 2)
    eject((servers[2] as typeof servers[number]).outlier, 0)
    assert.equal(listUsable(servers, 100).length, 4)
  })
})

describe('computeBackoff', () => {
  it('grows with the attempts and stays bounded', () => {
    assert.ok(computeBackoff(1, 1) < computeBackoff(3, 1))
    assert.ok(computeBackoff(30, 1) <= 2_000)
    assert.equal(computeBackoff(5, 0), 0)
  })
})
