import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { ManualClock } from '@pulleystack/core.clock'
import fc from 'fast-check'
import { InstanceDirectory, computeServingCount, rankServing, type KnownInstance } from '../src/index.js'

const HALLS = ['north', 'south', 'east']

function createInstances (count: number, getCapacity: (index: number) => number = () => 1): KnownInstance[] {
  return Array.from({ length: count }, (_, index) => ({
    instance: `e${index}`,
    dataHall: HALLS[index % HALLS.length] as string,
    capacity: getCapacity(index),
    peerAddress: `127.0.0.1:${index + 1}`,
  }))
}

function createDirectories (clock: ManualClock, instances: readonly KnownInstance[]): InstanceDirectory[] {
  return instances.map((self) => {
    const directory = new InstanceDirectory(clock, self)
    for (const other of instances) directory.put(other)
    return directory
  })
}

function listChosen (instances: readonly KnownInstance[], directories: readonly InstanceDirectory[], serving: ReadonlySet<string>): string[] {
  return instances.filter((_, index) => directories[index]?.isChosenToServe(serving)).map((it) => it.instance)
}

describe('InstanceDirectory', () => {
  describe('when all instances know each other', () => {
    it('chooses the same serving instances everywhere: all in a small system, some in a large one', () => {
      fc.assert(fc.property(fc.integer({ min: 1, max: 150 }), (count) => {
        const instances = createInstances(count)
        const chosen = listChosen(instances, createDirectories(new ManualClock(), instances), new Set())
        assert.equal(chosen.length, computeServingCount(count))
      }), { numRuns: 40 })
    })

    it('chooses the instances of highest capacity in each data hall', () => {
      const instances = createInstances(60, (index) => index < 6 ? 4 : 1)
      const chosen = listChosen(instances, createDirectories(new ManualClock(), instances), new Set())
      for (const it of instances.slice(0, 6)) assert.ok(chosen.includes(it.instance))
      for (const hall of HALLS) assert.ok(chosen.filter((name) => instances.find((it) => it.instance === name)?.dataHall === hall).length >= 3)
    })
  })

  describe('the cached ranking', () => {
    it('is computed once while nothing changes', () => {
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
      directory.isChosenToServe(new Set())
      const readsPerRanking = reads
      for (let turn = 0; turn < 100; turn++) {
        for (const other of instances) directory.put({ ...other })
        directory.isChosenToServe(new Set())
        directory.isFirstReachable()
        directory.listServingNeighbours(new Set())
        directory.listStandbyNeighbours(new Set())
      }
      assert.equal(reads, readsPerRanking)
    })

    it('is recomputed when an instance changes its capacity, joins or leaves', () => {
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

  describe('when serving instances fail', () => {
    it('chooses substitutes, and further ones when those do not start to serve', async () => {
      const clock = new ManualClock()
      const instances = createInstances(60)
      const directories = createDirectories(clock, instances)
      const first = rankServing(instances).slice(0, computeServingCount(60)).map((it) => it.instance)
      const remaining = new Set(first.slice(2))
      const listSubstitutes = (): string[] => listChosen(instances, directories, remaining).filter((name) => !first.includes(name))
      assert.equal(listSubstitutes().length, 0)
      await clock.advance(1_600)
      assert.equal(listSubstitutes().length, 2)
      await clock.advance(1_600)
      assert.equal(listSubstitutes().length, 4)
    })

    it('ends the substitution once enough instances serve', async () => {
      const clock = new ManualClock()
      const instances = createInstances(60)
      const directories = createDirectories(clock, instances)
      const first = rankServing(instances).slice(0, computeServingCount(60)).map((it) => it.instance)
      listChosen(instances, directories, new Set(first.slice(1)))
      await clock.advance(1_600)
      assert.equal(listChosen(instances, directories, new Set(first)).length, first.length)
      assert.equal(listChosen(instances, directories, new Set(first.slice(1))).length, first.length)
    })
  })

  it('gives a standby instance few neighbours, and one more for each that is unreachable', async () => {
    const clock = new ManualClock()
    const instances = createInstances(60)
    const last = rankServing(instances).at(-1) as KnownInstance
    const directory = createDirectories(clock, instances)[instances.indexOf(last)] as InstanceDirectory
    const before = directory.listStandbyNeighbours(new Set())
    assert.equal(before.length, 4)
    for (const it of before.slice(0, 2)) directory.recordUnreachable(it.instance)
    await clock.advance(1_600)
    assert.equal(directory.listStandbyNeighbours(new Set()).length, 6)
  })
})
