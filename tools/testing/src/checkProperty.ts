import fc from 'fast-check'

const SEED = 20_261_202
const EXPLORE_FACTOR = 10

/** Checks a property with a fixed seed; `npm run explore` uses a random seed and more runs. */
export async function checkProperty<T extends [unknown, ...unknown[]]> (
  arbitraries: { [K in keyof T]: fc.Arbitrary<T[K]> },
  check: (...values: T) => Promise<void> | void,
  runs: number,
): Promise<void> {
  const isExploring = process.env.PULLEYSTACK_EXPLORE !== undefined
  const property = fc.asyncProperty(...arbitraries, async (...values) => check(...values as unknown as T))
  await fc.assert(property as fc.IAsyncProperty<unknown>, isExploring ? { numRuns: runs * EXPLORE_FACTOR } : { seed: SEED, numRuns: runs, endOnFailure: true })
}
