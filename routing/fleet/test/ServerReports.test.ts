import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import fc from 'fast-check'
import { BackendDirectory, BackendFleet, ServerReports, ReportSources, chooseBackend, type Backend, type BackendEntry } from '../src/index.js'

const DRAIN_MS = 2_000

const SERVERS = ['a', 'b', 'c']
const LONG_RECOVERED_MS = 60_000
const DRAINING_STATEMENT = { serverId: undefined, leaving: true, retryAfterMs: undefined, hasLimit: false, limitPerSecond: undefined, invalidHeader: undefined }
const DEMAND = { dataHall: 'z', excluded: new Set<string>(), generation: undefined, overcommitShare: 1, prefillLimit: Infinity }

function createEntry (id: string, startedAt: number): BackendEntry {
  return { id, startedAt, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models: undefined, inMemory: [], onDisk: [] }
}

describe('self-reported status of servers', () => {
  let clock: ManualClock
  let fleet: BackendFleet
  let reports: ServerReports
  let directory: BackendDirectory
  const find = (id: string): Backend => fleet.find(id) as Backend
  const report = (id: string, serverStatus: Partial<typeof DRAINING_STATEMENT> | { retryAfterMs: number }): void => {
    reports.apply(find(id), { ...DRAINING_STATEMENT, leaving: false, ...serverStatus } as never, ReportSources.REQUEST)
  }
  const choose = (): string => {
    const choice = chooseBackend({ backends: fleet.list('s'), demand: DEMAND, capacity: undefined, random: new RandomSource(1), now: clock.readTime(), policy: DEFAULT_POLICY })
    return typeof choice === 'string' ? choice : choice.backend.id
  }

  beforeEach(() => {
    clock = new ManualClock()
    fleet = new BackendFleet()
    reports = new ServerReports({ clock, fleet, log: new NullDecisionLog() })
    directory = new BackendDirectory({ clock, fleet, readMsSinceRecovery: () => LONG_RECOVERED_MS, drainMs: DRAIN_MS })
    directory.put(createEntry('a', 1))
  })

  describe('that a server is draining', () => {
    it('takes precedence over a later entry', () => {
      report('a', { leaving: true })
      directory.put(createEntry('a', 1))
      assert.equal(find('a').entry.draining, true)
      assert.equal(choose(), 'no-backend')
    })

    it('is kept while the entry is missing', () => {
      report('a', { leaving: true })
      directory.remove('a')
      directory.put(createEntry('a', 1))
      assert.equal(find('a').entry.draining, true)
    })

    it('is kept if another instance reported it before the entry was known', () => {
      fleet.applyDrainingFromPeer({ id: 'b', startedAt: 1 })
      directory.put(createEntry('b', 1))
      assert.equal(find('b').entry.draining, true)
    })

    it('does not apply to the next incarnation', () => {
      report('a', { leaving: true })
      directory.put(createEntry('a', 2))
      assert.equal(choose(), 'a')
    })

    it('does not apply to the next incarnation if it arrives late', () => {
      const previous = find('a')
      directory.put(createEntry('a', 2))
      reports.apply(previous, DRAINING_STATEMENT, ReportSources.REQUEST)
      assert.equal(choose(), 'a')
    })

    it('is ignored if it names another server', () => {
      report('a', { leaving: true, serverId: 'b' } as never)
      assert.equal(choose(), 'a')
    })

    it('is announced to other instances once, if it was reported to this instance', () => {
      const announced: string[] = []
      fleet.drainingServers.subscribe(({ id }) => announced.push(id))
      report('a', { leaving: true })
      report('a', { leaving: true })
      directory.put(createEntry('b', 1))
      fleet.applyDrainingFromPeer({ id: 'b', startedAt: 1 })
      assert.deepEqual(announced, ['a'])
      assert.deepEqual(fleet.listDraining(10).map(({ id }) => id), ['b', 'a'])
    })
  })

  describe('that a server requests a backoff', () => {
    it('excludes it until the backoff ends', async () => {
      report('a', { retryAfterMs: 1_000 })
      assert.equal(choose(), 'backing-off')
      directory.put(createEntry('b', 1))
      assert.equal(choose(), 'b')
      directory.remove('b')
      await clock.advance(1_000)
      assert.equal(choose(), 'a')
    })

    it('is kept while its entry is missing', () => {
      report('a', { retryAfterMs: 1_000 })
      directory.remove('a')
      directory.put(createEntry('a', 1))
      assert.equal(choose(), 'backing-off')
    })
  })

  describe('in any order with changes of the store and messages from peers', () => {
    const event = fc.oneof(
      fc.record({ kind: fc.constant('entry' as const), id: fc.constantFrom(...SERVERS), incarnation: fc.integer({ min: 1, max: 3 }) }),
      fc.record({ kind: fc.constant('removed' as const), id: fc.constantFrom(...SERVERS) }),
      fc.record({ kind: fc.constant('peer' as const), id: fc.constantFrom(...SERVERS), incarnation: fc.integer({ min: 1, max: 3 }) }),
      fc.record({ kind: fc.constant('draining' as const), id: fc.constantFrom(...SERVERS) }),
      fc.record({ kind: fc.constant('backoff' as const), id: fc.constantFrom(...SERVERS), ms: fc.integer({ min: 0, max: 4_000 }) }),
      fc.record({ kind: fc.constant('time' as const), ms: fc.integer({ min: 1, max: 3_000 }) }),
    )

    it('excludes the servers that asked for it, and no others', async () => {
      await fc.assert(fc.asyncProperty(fc.array(event, { maxLength: 60 }), async (events) => {
        clock = new ManualClock()
        fleet = new BackendFleet()
        reports = new ServerReports({ clock, fleet, log: new NullDecisionLog() })
        directory = new BackendDirectory({ clock, fleet, readMsSinceRecovery: () => LONG_RECOVERED_MS, drainMs: DRAIN_MS })
        const incarnations = new Map<string, number>()
        const draining = new Set<string>()
        const backoffUntil = new Map<string, number>()
        const nameCurrent = (id: string): string => `${id}@${incarnations.get(id)}`
        for (const it of events) {
          if (it.kind === 'entry') {
            // Incarnations of one id follow each other.
            const incarnation = Math.max(it.incarnation, incarnations.get(it.id) ?? 0)
            incarnations.set(it.id, incarnation)
            directory.put(createEntry(it.id, incarnation))
          } else if (it.kind === 'removed') {
            directory.remove(it.id)
          } else if (it.kind === 'peer') {
            draining.add(`${it.id}@${it.incarnation}`)
            fleet.applyDrainingFromPeer({ id: it.id, startedAt: it.incarnation })
          } else if (it.kind === 'time') {
            await clock.advance(it.ms)
          } else if (fleet.find(it.id)) {
            report(it.id, it.kind === 'draining' ? { leaving: true } : { retryAfterMs: it.ms })
            if (it.kind === 'draining') draining.add(nameCurrent(it.id))
            else backoffUntil.set(nameCurrent(it.id), Math.max(backoffUntil.get(nameCurrent(it.id)) ?? 0, clock.readTime() + it.ms))
          }
          const isUsable = (id: string): boolean => !draining.has(nameCurrent(id)) && clock.readTime() >= (backoffUntil.get(nameCurrent(id)) ?? 0)
          const usable = fleet.listAll().map(({ id }) => id).filter(isUsable)
          const chosen = choose()
          assert.equal(usable.includes(chosen), usable.length > 0, `${chosen} of ${usable.join()}`)
        }
      }))
    })
  })
})
