import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { RelayPeers, type RelayTarget } from '../src/index.js'

const REQUESTS = 1_000

describe('peers to which requests are relayed', () => {
  let clock: ManualClock
  let targets: RelayTarget[]
  let peers: RelayPeers

  const build = (instance: string, capacity = 1): RelayTarget => ({ instance, address: `${instance}:1`, capacity })
  const silence = (target: RelayTarget, times: number): boolean[] => Array.from({ length: times }, () => peers.recordSilence(target))
  /** Number of times that each instance is first, while all requests stay in flight. */
  const countFirst = (requests: number): Record<string, number> => {
    const counts: Record<string, number> = {}
    for (let at = 0; at < requests; at++) {
      const [first] = peers.list() as [RelayTarget]
      counts[first.instance] = (counts[first.instance] ?? 0) + 1
      peers.recordSent(first)
    }
    return counts
  }

  beforeEach(() => {
    clock = new ManualClock()
    targets = [build('a'), build('b'), build('c'), build('d')]
    peers = new RelayPeers({ clock, random: new RandomSource(7), listTargets: () => targets })
  })

  it('are all listed, each once', () => {
    assert.deepEqual(peers.list().map(({ instance }) => instance).sort(), ['a', 'b', 'c', 'd'])
  })

  it('share requests evenly, and by capacity where that differs', () => {
    for (const count of Object.values(countFirst(REQUESTS))) assert.ok(count > 0.2 * REQUESTS && count < 0.3 * REQUESTS, `${count}`)
    targets = [build('large', 4), build('small', 1)]
    const { large = 0 } = countFirst(REQUESTS)
    assert.ok(large > 0.75 * REQUESTS && large < 0.85 * REQUESTS, `${large}`)
  })

  describe('one of which is silent', () => {
    it('come last after the second silence, for a time that grows', async () => {
      const [silent] = targets as [RelayTarget]
      assert.deepEqual(silence(silent, 2), [false, true])
      for (let at = 0; at < 20; at++) assert.equal(peers.list().at(-1)?.instance, 'a')
      await clock.advance(700)
      assert.ok(Array.from({ length: 20 }, () => peers.list()[0]?.instance).includes('a'))
      silence(silent, 2)
      await clock.advance(700)
      assert.equal(peers.list().at(-1)?.instance, 'a')
    })

    it('are used as before once it has answered', () => {
      const [silent] = targets as [RelayTarget]
      silence(silent, 1)
      peers.recordAnswer(silent)
      assert.deepEqual(silence(silent, 1), [false])
    })
  })

  it('are all used while most of them are silent', () => {
    for (const target of targets.slice(0, 3)) silence(target, 2)
    const first = new Set(Array.from({ length: 50 }, () => peers.list()[0]?.instance))
    assert.equal(first.size, 4)
  })
})
