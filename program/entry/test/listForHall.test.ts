import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { listForHall } from '../src/listForHall.js'

const HALLS = ['a', 'b', 'c', 'd']

function buildMembers (perHall: number, capacity: number, kind: string): { instance: string, dataHall: string, capacity: number }[] {
  return HALLS.flatMap((dataHall) => Array.from({ length: perHall }, (_, at) => ({ instance: `${kind}-${dataHall}-${at}`, dataHall, capacity })))
}

/** Share of the requests that each instance gets if all data halls send as many. */
function computeShares (members: ReturnType<typeof buildMembers>): Map<string, number> {
  const shares = new Map<string, number>()
  for (const hall of HALLS) {
    const listed = listForHall(members, hall)
    for (const { instance } of listed) shares.set(instance, (shares.get(instance) ?? 0) + 1 / (HALLS.length * listed.length))
  }
  return shares
}

describe('the instances that clients of a data hall are told of', () => {
  it('are all, where all have the same capacity', () => {
    const members = buildMembers(3, 0.7, 'm')
    for (const hall of HALLS) assert.deepEqual(listForHall(members, hall), members)
  })

  // Guards against small instances that get as many requests as large ones, and answer seconds late.
  it('get requests in proportion to their capacity', () => {
    for (const part of [0.24, 0.5, 0.75]) {
      const members = [...buildMembers(2, 1.35, 'large'), ...buildMembers(3, 1.35 * part, 'small')]
      const shares = computeShares(members)
      const mean = (kind: string): number => {
        const values = [...shares].filter(([instance]) => instance.startsWith(kind)).map(([, share]) => share)
        return values.reduce((sum, value) => sum + value, 0) / values.length
      }
      const ratio = mean('small') / mean('large')
      assert.ok(Math.abs(ratio - part) < 0.05, `${ratio} in place of ${part}`)
    }
  })

  it('include all of the data hall itself, and every instance is listed somewhere', () => {
    const members = [...buildMembers(1, 2, 'large'), ...buildMembers(4, 0.1, 'small')]
    for (const hall of HALLS) assert.ok(members.filter(({ dataHall }) => dataHall === hall).every((member) => listForHall(members, hall).includes(member)))
  })

  it('are all for an unknown data hall, or where few would be left', () => {
    const members = [...buildMembers(1, 0.1, 'small'), { instance: 'large', dataHall: 'a', capacity: 4 }]
    assert.deepEqual(listForHall(members, ''), members)
    assert.deepEqual(listForHall(members, 'b'), members)
  })
})
