import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import { createHistory, describeExploration, exploreHistories, listHistories, type Exploration } from './exploreHistories.js'
import { LATE_ORDER_HISTORIES, TWO_GRANTED_HISTORIES } from './histories.js'
import { DEMAND_INTERVAL_MS } from './LeaseWorld.js'
import { MAX_SILENCE_MS, playHistory, type History } from './playHistory.js'
import { STEPS, type StepName } from './steps.js'

/** PULLEYSTACK_EXPLORE=1 plays longer histories, of random ones with a new seed. */
const IS_EXPLORING = process.env['PULLEYSTACK_EXPLORE'] !== undefined
const SEED = IS_EXPLORING ? Number(process.env['PULLEYSTACK_SEED'] ?? Date.now() % 1_000_000) : 20_261_205
const RANDOM_RUNS = IS_EXPLORING ? 3_000 : 60
const RANDOM_DEPTH = 5
const RARE_DEMAND_MS = 2_100
const MAX_RANDOM_WAIT_MS = 7_000
const ALL_STEPS = Object.keys(STEPS) as StepName[]
/** Ways in which another holder comes. */
const TAKEOVERS: readonly StepName[] = ['kill', 'restart', 'stop', 'suspend', 'cutStore', 'restoreStore']
const WAITS_MS = [50, 600, 2_400]

describe('Orders of lease holders', () => {
  const checkExploration = async (histories: readonly History[]): Promise<Exploration> => {
    const found = await exploreHistories(histories)
    console.log(describeExploration(found))
    assert.deepEqual([...found.faults.keys()], [], describeExploration(found))
    assert.ok(found.worstSilence.ms < MAX_SILENCE_MS, describeExploration(found))
    return found
  }

  // Guards against orders of two holders that reach a server too close to each other or in the wrong order (ONE).
  it('are kept apart, and end only for a while, after each single fault', async () => {
    const { sequences } = await checkExploration(listHistories(ALL_STEPS, WAITS_MS, 1))
    assert.ok(sequences > 1, 'no other holder came')
  })

  it('are kept apart, and end only for a while, when another holder comes after each fault', async () => {
    const pairs = IS_EXPLORING
      ? listHistories(ALL_STEPS, WAITS_MS, 2)
      : ALL_STEPS.flatMap((fault) => TAKEOVERS.map((takeover): History => [[fault, 600], [takeover, 600]]))
    await checkExploration(pairs)
  })

  // Guards against orders that arrive after their sender has lost the lease, between those of its successor (ONE).
  for (const [name, history] of Object.entries({ ...LATE_ORDER_HISTORIES, ...TWO_GRANTED_HISTORIES })) {
    it(`are kept apart after ${name}`, async () => {
      for (const demandIntervalMs of [DEMAND_INTERVAL_MS, RARE_DEMAND_MS]) {
        const { faults, isMemoryExceeded, isLive, turns } = await playHistory(history, { demandIntervalMs })
        assert.deepEqual({ faults: [...faults], isMemoryExceeded, isLive }, { faults: [], isMemoryExceeded: false, isLive: true }, turns)
      }
    })
  }

  it(`are kept apart, and end only for a while, in random histories (seed ${SEED})`, async () => {
    const random = new RandomSource(SEED)
    await checkExploration(Array.from({ length: RANDOM_RUNS }, () => createHistory(random, ALL_STEPS, RANDOM_DEPTH, MAX_RANDOM_WAIT_MS)))
  })
})
