import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import type { PulleystackError } from '@pulleystack/core.errors'
import { FakeHub } from '@pulleystack/membership.fake-network'
import type { ResidencyClient } from '@pulleystack/placement.residency'
import { BackendFleet, type BackendEntry } from '@pulleystack/routing.fleet'
import type { PathChecker } from '@pulleystack/routing.paths'
import { Quarantine, SuspectRule, Verdicts, type Verdict } from '@pulleystack/routing.quarantine'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { BackendQueue, SuspectGate } from '../src/index.js'
import type { RoutedWork } from '../src/RoutedWork.js'

const TRAITS = { identity: 'stream', shared: [] }

/** Never settles whether a request may run. */
class UndecidedRule extends SuspectRule {
  override judge (): Verdict {
    return Verdicts.UNDECIDED
  }
}

function createEntry (softwareVersion: string): BackendEntry {
  const shared = { service: 's', dataHall: 'z', slots: 8, draining: false, models: undefined, inMemory: [], onDisk: [] }
  return { id: softwareVersion, address: `${softwareVersion}:1`, softwareVersion, ...shared }
}

describe('a stream that waits until it is settled whether it has crashed servers', () => {
  let clock: ManualClock
  let fleet: BackendFleet
  let queue: BackendQueue
  let gate: SuspectGate
  let work: RoutedWork

  beforeEach(() => {
    clock = new ManualClock()
    const random = new RandomSource(1)
    const log = new NullDecisionLog()
    fleet = new BackendFleet()
    fleet.replaceAll([createEntry('v1'), createEntry('v2')])
    const residency = {} as ResidencyClient
    queue = new BackendQueue({ clock, random, fleet, residency, log, dataHall: 'z', policy: DEFAULT_POLICY })
    const network = new FakeHub({ clock, random }).createNode({ instance: 'e0', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false })
    const membership = { instance: 'e0', listServing: () => [] }
    const quarantine = new Quarantine({ clock, network, membership, rule: new UndecidedRule() })
    quarantine.recordCrash(TRAITS, { life: 'v1', sentAt: 0, hadBegun: true, wasExclusive: false })
    gate = new SuspectGate({ clock, log, fleet, paths: {} as PathChecker, quarantine })
    const requested = { requestId: 'q', route: { name: 'r', priority: 0 }, service: { name: 's' }, excluded: new Set(), deniedUntil: new Map(), stream: { events: 0 }, deadline: 60_000 }
    work = { ...requested, traits: TRAITS, origin: { service: 's', version: 'v1' }, signal: new AbortController().signal } as unknown as RoutedWork
  })

  const admit = (): Promise<PulleystackError> => {
    const watch = queue.watchVersion(work)
    return gate.admit(work, watch?.lost).then(() => assert.fail('admitted'), (error: PulleystackError) => error).finally(() => watch?.end())
  }

  // Guards against a stream that can't go on and is told so only once its wait for an exclusive run is over.
  it('is rejected at once when the last server of its version goes', async () => {
    const rejection = admit()
    await clock.advance(10)
    fleet.remove('v1')
    assert.equal((await rejection).code, 'NO_RUNNER')
  })

  it('goes on waiting while a server of its version is left', async () => {
    let isSettled = false
    void admit().then(() => {
      isSettled = true
    })
    fleet.remove('v2')
    await clock.advance(1_000)
    assert.equal(isSettled, false)
  })
})
