import { RandomSource } from '@pulleystack/core.clock'
import type { PlanGroup, PlanServer } from '@pulleystack/placement.planner'
import type { DemandTrace } from './simulatePlacement.js'

const STEP_COUNT = 240
const GIB = 1
const NOISE = 0.3

export interface Pool {
  groups: PlanGroup[]
  servers: PlanServer[]
}

/** Builds a pool of 33 accelerators in seven data halls and 75 models of two partners. */
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

/** Builds demand traces with steps of 15 seconds. */
export function buildTraces (pool: Pool): DemandTrace[] {
  const hallServers = pool.servers.filter((server) => server.dataHall === 'h0').map((server) => server.id)
  return [
    { name: 'calm day', steps: buildSteps(pool, () => 1), failures: [] },
    { name: 'storm', steps: buildSteps(pool, (item, step) => item.startsWith('shorewatch/m4') && step > 60 && step < 160 ? 10 : 1), failures: [] },
    { name: 'filing deadline', steps: buildSteps(pool, (item, step) => item.startsWith('peritos/m1') ? 1 + 9 * Math.max(0, 1 - Math.abs(step - 150) / 60) : 1), failures: [] },
    { name: 'accelerator lost', steps: buildSteps(pool, () => 1.3), failures: [{ step: 80, servers: ['s3'] }] },
    { name: 'data hall lost', steps: buildSteps(pool, () => 1.2), failures: [{ step: 80, servers: hallServers }] },
  ]
}

function buildSteps (pool: Pool, getFactor: (item: string, step: number) => number): ReadonlyMap<string, number>[] {
  const random = new RandomSource(9)
  const baseLoads = new Map(pool.groups.map((group) => [group.item, 0.04 + 0.45 * random.readFraction() ** 3]))
  const phases = new Map(pool.groups.map((group) => [group.item, random.readFraction() * 2 * Math.PI]))
  return Array.from({ length: STEP_COUNT }, (_, step) => new Map(pool.groups.map(({ item }) => {
    const cycle = 1 + 0.5 * Math.sin(step / 40 + (phases.get(item) ?? 0))
    const noise = 1 + NOISE * (random.readFraction() * 2 - 1)
    return [item, (baseLoads.get(item) ?? 0) * cycle * noise * getFactor(item, step)]
  })))
}
