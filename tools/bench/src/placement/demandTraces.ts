import { RandomSource } from '@pulleystack/core.clock'
import type { PlanGroup, PlanServer } from '@pulleystack/placement.planner'
import type { DemandTrace } from './simulatePlacement.js'

const STEPS = 240
const GIB = 1
const NOISE = 0.3

export interface Pool {
  groups: PlanGroup[]
  servers: PlanServer[]
}

/** Today's pool: 33 accelerators in seven data halls, 75 models of both partners. */
export function buildPool (): Pool {
  const random = new RandomSource(5)
  const servers = Array.from({ length: 33 }, (_, i): PlanServer => ({ id: `s${i}`, dataHall: `h${i % 7}`, capacity: 80 * GIB, reserved: 0 }))
  const groups = Array.from({ length: 75 }, (_, i): PlanGroup => {
    const partner = i < 40 ? 'peritos' : 'shorewatch'
    const bytes = [6, 8, 12, 16, 20, 28][random.readBelow(6)] as number
    return { item: `${partner}/m${i}`, partner, bytes, load: 0, minCopies: 1, maxCopies: 12, weight: partner === 'shorewatch' ? 2 : 1, movePenalty: partner === 'peritos' ? 3 : 1 }
  })
  return { groups, servers }
}

/** Recorded shapes of demand: a step is a quarter of a minute. */
export function buildTraces (pool: Pool): DemandTrace[] {
  const halls = pool.servers.filter((server) => server.dataHall === 'h0').map((server) => server.id)
  return [
    { name: 'calm day', steps: buildSteps(pool, () => 1), losses: [] },
    { name: 'storm', steps: buildSteps(pool, (item, step) => item.startsWith('shorewatch/m4') && step > 60 && step < 160 ? 10 : 1), losses: [] },
    { name: 'filing deadline', steps: buildSteps(pool, (item, step) => item.startsWith('peritos/m1') ? 1 + 9 * Math.max(0, 1 - Math.abs(step - 150) / 60) : 1), losses: [] },
    { name: 'accelerator lost', steps: buildSteps(pool, () => 1.3), losses: [{ step: 80, servers: ['s3'] }] },
    { name: 'data hall lost', steps: buildSteps(pool, () => 1.2), losses: [{ step: 80, servers: halls }] },
  ]
}

function buildSteps (pool: Pool, shape: (item: string, step: number) => number): ReadonlyMap<string, number>[] {
  const random = new RandomSource(9)
  const base = new Map(pool.groups.map((group) => [group.item, 0.04 + 0.45 * random.readFraction() ** 3]))
  const wave = new Map(pool.groups.map((group) => [group.item, random.readFraction() * 2 * Math.PI]))
  return Array.from({ length: STEPS }, (_, step) => new Map(pool.groups.map(({ item }) => {
    const slow = 1 + 0.5 * Math.sin(step / 40 + (wave.get(item) ?? 0))
    const noise = 1 + NOISE * (random.readFraction() * 2 - 1)
    return [item, (base.get(item) ?? 0) * slow * noise * shape(item, step)]
  })))
}
