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

describe('dropFailing', () => {
  it('excludes a server that fails half of its requests', () => {
    assert.deepEqual(dropFailing(createServers([0.1, 0.5, 0.12, 0.08]), 0).map((it) => it.name), [0, 2, 3])
  })

  it('excludes no server when all fail alike', () => {
    assert.equal(dropFailing(createServers([0.6, 0.55, 0.6]), 0).length, 3)
  })

  it('keeps at least one server', () => {
    assert.equal(dropFailing(createServers([1]), 0).length, 1)
    assert.equal(dropFailing(createServers([0, 1]), 0).length, 1)
  })

  it('does not exclude a server after a single failure', () => {
    const servers = createServers([0, 0, 0])
    servers[0]?.failureRate.add(1, 1, 0)
    assert.equal(dropFailing(servers, 0).length, 3)
  })

  it('includes a server again when its failures are old', () => {
    const servers = createServers([0, 0.9, 0])
    assert.equal(dropFailing(servers, 0).length, 2)
    assert.equal(dropFailing(servers, 20_000).length, 3)
  })
})
