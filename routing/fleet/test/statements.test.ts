import assert from 'node:assert/strict'
import { beforeEach, describe, it } from 'node:test'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock, RandomSource } from '@pulleystack/core.clock'
import { SilentDecisionLog } from '@pulleystack/timeline.decisions'
import fc from 'fast-check'
import { BackendDirectory, BackendFleet, StatementIntake, StatementSources, chooseBackend, type Backend, type BackendEntry } from '../src/index.js'

const SERVERS = ['a', 'b', 'c']
const SETTLED_MS = 60_000
const LEAVING = { serverId: undefined, leaving: true, retryAfterMs: undefined, namesLimit: false, limitPerSecond: undefined, unreadable: undefined }
const DEMAND = { dataHall: 'z', excluded: new Set<string>(), generation: undefined, queueShare: 1, readingLimit: Infinity }

function createEntry (id: string, startedAt: number): BackendEntry {
  return { id, startedAt, service: 's', address: `${id}:1`, dataHall: 'z', slots: 8, draining: false, models: undefined, inMemory: [], onDisk: [] }
}

describe('what servers say of themselves', () => {
  let clock: ManualClock
  let fleet: BackendFleet
  let intake: StatementIntake
  let directory: BackendDirectory
  const find = (id: string): Backend => fleet.find(id) as Backend
  const say = (id: string, said: Partial<typeof LEAVING> | { retryAfterMs: number }): void => {
    intake.take(find(id), { ...LEAVING, leaving: false, ...said } as never, StatementSources.REQUEST)
  }
  const choose = (): string => {
    const choice = chooseBackend({ backends: fleet.list('s'), demand: DEMAND, figures: undefined, random: new RandomSource(1), now: clock.readTime(), policy: DEFAULT_POLICY })
    return typeof choice === 'string' ? choice : choice.backend.id
  }

  beforeEach(() => {
    clock = new ManualClock()
    fleet = new BackendFleet()
    intake = new StatementIntake({ clock, fleet, log: new SilentDecisionLog() })
    directory = new BackendDirectory({ clock, fleet, readSettledMs: () => SETTLED_MS })
    directory.put(createEntry('a', 1))
  })

  describe('that one leaves', () => {
    it('stands above an entry that is written later, and says otherwise', () => {
      say('a', { leaving: true })
      directory.put(createEntry('a', 1))
      assert.equal(find('a').entry.draining, true)
      assert.equal(choose(), 'no-backend')
    })

    it('stands when the entry was gone in between', () => {
      say('a', { leaving: true })
      directory.remove('a')
      directory.put(createEntry('a', 1))
      assert.equal(find('a').entry.draining, true)
    })

    it('stands when another instance told of it before the entry was known', () => {
      fleet.takeDeparture({ id: 'b', startedAt: 1 })
      directory.put(createEntry('b', 1))
      assert.equal(find('b').entry.draining, true)
    })

    it('says nothing of its next life', () => {
      say('a', { leaving: true })
      directory.put(createEntry('a', 2))
      assert.equal(choose(), 'a')
    })

    it('says nothing of its next life when it is heard late', () => {
      const former = find('a')
      directory.put(createEntry('a', 2))
      intake.take(former, LEAVING, StatementSources.REQUEST)
      assert.equal(choose(), 'a')
    })

    it('is believed of nobody but itself', () => {
      say('a', { leaving: true, serverId: 'b' } as never)
      assert.equal(choose(), 'a')
    })

    it('is told to the others once, when it was said to this instance', () => {
      const told: string[] = []
      fleet.departures.subscribe(({ id }) => told.push(id))
      say('a', { leaving: true })
      say('a', { leaving: true })
      directory.put(createEntry('b', 1))
      fleet.takeDeparture({ id: 'b', startedAt: 1 })
      assert.deepEqual(told, ['a'])
      assert.deepEqual(fleet.listDepartures(10).map(({ id }) => id), ['b', 'a'])
    })
  })

  describe('that one wants rest', () => {
    it('keeps requests from it until then', async () => {
      say('a', { retryAfterMs: 1_000 })
      assert.equal(choose(), 'backing-off')
      directory.put(createEntry('b', 1))
      assert.equal(choose(), 'b')
      directory.remove('b')
      await clock.advance(1_000)
      assert.equal(choose(), 'a')
    })

    it('stands when its entry was gone in between', () => {
      say('a', { retryAfterMs: 1_000 })
      directory.remove('a')
      directory.put(createEntry('a', 1))
      assert.equal(choose(), 'backing-off')
    })
  })

  describe('in whichever order it comes with what the store and peers say', () => {
    const event = fc.oneof(
      fc.record({ kind: fc.constant('entry' as const), id: fc.constantFrom(...SERVERS), life: fc.integer({ min: 1, max: 3 }) }),
      fc.record({ kind: fc.constant('gone' as const), id: fc.constantFrom(...SERVERS) }),
      fc.record({ kind: fc.constant('peer' as const), id: fc.constantFrom(...SERVERS), life: fc.integer({ min: 1, max: 3 }) }),
      fc.record({ kind: fc.constant('leaving' as const), id: fc.constantFrom(...SERVERS) }),
      fc.record({ kind: fc.constant('rest' as const), id: fc.constantFrom(...SERVERS), ms: fc.integer({ min: 0, max: 4_000 }) }),
      fc.record({ kind: fc.constant('time' as const), ms: fc.integer({ min: 1, max: 3_000 }) }),
    )

    it('keeps requests from those that said so, and from no others', async () => {
      await fc.assert(fc.asyncProperty(fc.array(event, { maxLength: 60 }), async (events) => {
        clock = new ManualClock()
        fleet = new BackendFleet()
        intake = new StatementIntake({ clock, fleet, log: new SilentDecisionLog() })
        directory = new BackendDirectory({ clock, fleet, readSettledMs: () => SETTLED_MS })
        const lives = new Map<string, number>()
        const leaving = new Set<string>()
        const restUntil = new Map<string, number>()
        const nameCurrent = (id: string): string => `${id}@${lives.get(id)}`
        for (const it of events) {
          if (it.kind === 'entry') {
            // Lives of one id follow each other.
            const life = Math.max(it.life, lives.get(it.id) ?? 0)
            lives.set(it.id, life)
            directory.put(createEntry(it.id, life))
          } else if (it.kind === 'gone') {
            directory.remove(it.id)
          } else if (it.kind === 'peer') {
            leaving.add(`${it.id}@${it.life}`)
            fleet.takeDeparture({ id: it.id, startedAt: it.life })
          } else if (it.kind === 'time') {
            await clock.advance(it.ms)
          } else if (fleet.find(it.id)) {
            say(it.id, it.kind === 'leaving' ? { leaving: true } : { retryAfterMs: it.ms })
            if (it.kind === 'leaving') leaving.add(nameCurrent(it.id))
            else restUntil.set(nameCurrent(it.id), Math.max(restUntil.get(nameCurrent(it.id)) ?? 0, clock.readTime() + it.ms))
          }
          const isOpen = (id: string): boolean => !leaving.has(nameCurrent(id)) && clock.readTime() >= (restUntil.get(nameCurrent(id)) ?? 0)
          const open = fleet.listAll().map(({ id }) => id).filter(isOpen)
          const chosen = choose()
          assert.equal(open.includes(chosen), open.length > 0, `${chosen} of ${open.join()}`)
        }
      }))
    })
  })
})
