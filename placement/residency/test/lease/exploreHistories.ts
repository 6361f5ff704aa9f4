import type { RandomSource } from '@pulleystack/core.clock'
import { playHistory, type History, type Outcome } from './playHistory.js'
import type { StepName } from './steps.js'

/** Worlds that are played side by side, which saves turns of the event loop. */
const WIDTH = 32

/** What a history showed, with the history. */
export interface Finding {
  history: History
  detail: string
}

/** What the servers of all histories saw. */
export interface Exploration {
  histories: number
  /** Different sequences of holders. */
  sequences: number
  /** How often each fault was found, and the shortest history that shows it. */
  faults: Map<string, { count: number, shortest: Finding }>
  /** Longest time without orders, in milliseconds. */
  worstSilence: { ms: number, history: History }
}

/** Lists every sequence of `depth` steps, each followed by one of the waits in milliseconds. */
export function listHistories (steps: readonly StepName[], waits: readonly number[], depth: number): History[] {
  if (depth === 0) return [[]]
  const shorter = listHistories(steps, waits, depth - 1)
  return shorter.flatMap((history) => steps.flatMap((step) => waits.map((waitMs): History => [...history, [step, waitMs]])))
}

export function createHistory (random: RandomSource, steps: readonly StepName[], depth: number, maxWaitMs: number): History {
  const pickStep = (): StepName => steps[Math.floor(random.readFraction() * steps.length)] as StepName
  // Short waits are as likely as long ones.
  return Array.from({ length: depth }, () => [pickStep(), Math.round(10 * (maxWaitMs / 10) ** random.readFraction())])
}

/** Plays all histories and judges what the servers received. */
export async function exploreHistories (histories: readonly History[], play: (history: History) => Promise<Outcome> = playHistory): Promise<Exploration> {
  const found: Exploration = { histories: histories.length, sequences: 0, faults: new Map(), worstSilence: { ms: 0, history: [] } }
  const sequences = new Set<string>()
  const remaining = histories.values()
  await Promise.all(Array.from({ length: WIDTH }, async () => {
    for (const history of remaining) {
      const outcome = await play(history)
      sequences.add(outcome.turns)
      recordOutcome(found, history, outcome)
    }
  }))
  return { ...found, sequences: sequences.size }
}

export function describeExploration ({ histories, sequences, faults, worstSilence }: Exploration): string {
  const lines = [...faults].map(([fault, { count, shortest }]) => `${count} times ${fault}: ${describeHistory(shortest.history)} (${shortest.detail})`)
  const silence = `longest time without orders ${Math.round(worstSilence.ms)} ms: ${describeHistory(worstSilence.history)}`
  return [`${histories} histories, ${sequences} sequences of holders`, silence, ...lines].join('\n')
}

function describeHistory (history: History): string {
  return history.map(([step, waitMs]) => `${step} ${waitMs}`).join(', ')
}

function recordOutcome (found: Exploration, history: History, outcome: Outcome): void {
  for (const [fault, detail] of listFaults(outcome)) {
    const known = found.faults.get(fault)
    const isShorter = !known || measureHistory(history) < measureHistory(known.shortest.history)
    found.faults.set(fault, { count: (known?.count ?? 0) + 1, shortest: isShorter ? { history, detail } : known.shortest })
  }
  if (outcome.silenceMs > found.worstSilence.ms) found.worstSilence = { ms: outcome.silenceMs, history }
}

function listFaults (outcome: Outcome): [fault: string, detail: string][] {
  const { faults, origins, turns, isMemoryExceeded, isLive } = outcome
  const found = [...faults].map(([fault, detail]): [string, string] => [`${fault} (${origins})`, `${detail}; ${turns}`])
  if (isMemoryExceeded) found.push(['memory exceeded', turns])
  if (!isLive) found.push(['no orders after the faults', turns])
  return found
}

/** Fewer steps come first, then less time. */
function measureHistory (history: History): number {
  return history.reduce((sum, [, waitMs]) => sum + 1_000_000 + waitMs, 0)
}
