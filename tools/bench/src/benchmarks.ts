/** One benchmark; it prints its own report. */
export type Bench = (args: readonly string[]) => Promise<void>

/** Benchmarks by name, loaded only when asked for. */
export const benches: Readonly<Record<string, () => Promise<Bench>>> = {
  'entry': async () => (await import('./entry/runEntry.js')).runEntry,
  'picking': async () => (await import('./routing/runPicking.js')).runPicking,
  'overload': async () => (await import('./routing/runOverload.js')).runOverload,
  'claims': async () => (await import('./routing/runClaims.js')).runClaims,
  'convergence': async () => (await import('./fleet/runConvergence.js')).runConvergence,
  'drain': async () => (await import('./fleet/runDrain.js')).runDrain,
  'placement': async () => (await import('./placement/runPlacement.js')).runPlacement,
  'plan-scale': async () => (await import('./placement/runPlanScale.js')).runPlanScale,
  'suspects': async () => (await import('./routing/runSuspects.js')).runSuspects,
  'capacity': async () => (await import('./capacity/runCapacity.js')).runCapacity,
}
