import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { InstanceDirectory, countServing, rankServing, type KnownInstance } from '../src/index.js'

const HALLS = ['north', 'south', 'east']

function createInstances (count: number, getCapacity: (at: number) => number = () => 1): KnownInstance[] {
  return Array.from({ length: count }, (_, at) => ({
    instance: `e${at}`,
    dataHall: HALLS[at % HALLS.length] as string,
    capacity: getCapacity(at),
    peerAddress: `127.0.0.1:${at + 1}`,
  }))
}

function createDirectories (clock: ManualClock, instances: readonly KnownInstance[]): InstanceDirectory[] {
  return instances.map((self) => {
    const directory = new InstanceDirectory(clock, self)
    for (const other of instances) directory.put(other)
    return directory
  })
}

function nameChosen (instances: readonly KnownInstance[], directories: readonly InstanceDirectory[], serving: ReadonlySet<string>): string[] {
  return instances.filter((_, at) => directories[at]?.isChosen(serving)).map((it) => it.instance)
}

describe('the instances of a system', () => {
  describe('when all know each other', () => {
    it('agree on who serves, all of them in a small system and a part in a large one', () => {
      fc.assert(fc.property(fc.integer({ min: 1, max: 150 }), (count) => {
        const instances = createInstances(count)
        const chosen = nameChosen(instances, createDirectories(new ManualClock(), instances), new Set())
        assert.equal(chosen.length, countServing(count))
      }), { numRuns: 40 })
    })

    it('let the most capable of each data hall serve', () => {
      const instances = createInstances(60, (at) => at < 6 ? 4 : 1)
      const chosen = nameChosen(instances, createDirectories(new ManualClock(), instances), new Set())
      for (const it of instances.slice(0, 6)) assert.ok(chosen.includes(it.instance))
      for (const hall of HALLS) assert.ok(chosen.filter((name) => instances.find((it) => it.instance === name)?.dataHall === hall).length >= 3)
    })
  })

  describe('when nobody joins or leaves', () => {
    it('are ranked once, however often it is asked who serves', () => {
      const instances = createInstances(195)
      let reads = 0
      const self: KnownInstance = {
        ...instances[0] as KnownInstance,
        get capacity () {
          reads++
          return 1
        },
      }
      const directory = new InstanceDirectory(new ManualClock(), self)
      for (const other of instances) directory.put(other)
      directory.isChosen(new Set())
      const readsOfOneRanking = reads
      for (let turn = 0; turn < 100; turn++) {
        for (const other of instances) directory.put({ ...other })
        directory.isChosen(new Set())
        directory.isFirst()
        directory.listServingNeighbours(new Set())
        directory.listStandbyNeighbours(new Set())
      }
      assert.equal(reads, readsOfOneRanking)
    })

    it('are ranked anew when one of them has another capacity, joins or leaves', () => {
      const instances = createInstances(60)
      const directory = new InstanceDirectory(new ManualClock(), instances[0] as KnownInstance)
      for (const other of instances) directory.put(other)
      const isNeighbour = (name: string): boolean => directory.listServingNeighbours(new Set()).some((it) => it.instance === name)
      const last = rankServing(instances).at(-1) as KnownInstance
      assert.equal(isNeighbour(last.instance), false)
      directory.put({ ...last, capacity: 4 })
      assert.equal(isNeighbour(last.instance), true)
      directory.remove(last.instance)
      assert.equal(isNeighbour(last.instance), false)
    })
  })

  describe('when some of those that serve die', () => {
    it('step in for them, and others when the next ones are dead as well', async () => {
      const clock = new ManualClock()
      const instances = createInstances(60)
      const directories = createDirectories(clock, instances)
      const first = rankServing(instances).slice(0, countServing(60)).map((it) => it.instance)
      const left = new Set(first.slice(2))
      const standing = (): string[] => nameChosen(instances, directories, left).filter((name) => !first.includes(name))
      assert.equal(standing().length, 0)
      await clock.advance(1_600)
      assert.equal(standing().length, 2)
      await clock.advance(1_600)
      assert.equal(standing().length, 4)
    })

    it('stand by again for the next time once enough serve', async () => {
      const clock = new ManualClock()
      const instances = createInstances(60)
      const directories = createDirectories(clock, instances)
      const first = rankServing(instances).slice(0, countServing(60)).map((it) => it.instance)
      nameChosen(instances, directories, new Set(first.slice(1)))
      await clock.advance(1_600)
      assert.equal(nameChosen(instances, directories, new Set(first)).length, first.length)
      assert.equal(nameChosen(instances, directories, new Set(first.slice(1))).length, first.length)
    })
  })

  it('keep few links while they stand by, and others beside those that do not come up', async () => {
    const clock = new ManualClock()
    const instances = createInstances(60)
    const last = rankServing(instances).at(-1) as KnownInstance
    const directory = createDirectories(clock, instances)[instances.indexOf(last)] as InstanceDirectory
    const before = directory.listStandbyNeighbours(new Set())
    assert.equal(before.length, 4)
    for (const it of before.slice(0, 2)) directory.noteMissing(it.instance)
    await clock.advance(1_600)
    assert.equal(directory.listStandbyNeighbours(new Set()).length, 6)
  })
})
