import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { FailureRate, dropFailing } from '../src/index.js'

function createServers (shares: readonly number[], now = 0): { name: number, failureRate: FailureRate }[] {
  return shares.map((share, name) => {
    const failureRate = new FailureRate()
    failureRate.add(share * 20, 20, now)
    return { name, failureRate }
  })
}

describe('the failure rate of servers', () => {
  it('leaves out one that fails half of its requests between successes', () => {
    assert.deepEqual(dropFailing(createServers([0.1, 0.5, 0.12, 0.08]), 0).map((it) => it.name), [0, 2, 3])
  })

  it('leaves nobody out when all fail alike', () => {
    assert.equal(dropFailing(createServers([0.6, 0.55, 0.6]), 0).length, 3)
  })

  it('keeps at least one, and the only one', () => {
    assert.equal(dropFailing(createServers([1]), 0).length, 1)
    assert.equal(dropFailing(createServers([0, 1]), 0).length, 1)
  })

  it('says little after a single failure', () => {
    const servers = createServers([0, 0, 0])
    servers[0]?.failureRate.add(1, 1, 0)
    assert.equal(dropFailing(servers, 0).length, 3)
  })

  it('lets a server back once its failures have faded', () => {
    const servers = createServers([0, 0.9, 0])
    assert.equal(dropFailing(servers, 0).length, 2)
    assert.equal(dropFailing(servers, 20_000).length, 3)
  })
})
