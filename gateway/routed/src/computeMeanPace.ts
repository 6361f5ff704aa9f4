import type { Backend, ServerPaces } from '@pulleystack/routing.fleet'

/** Returns the mean of the servers' present paces in prompt tokens per millisecond, by which they prefill together; undefined without servers. */
export function computeMeanPace (paces: ServerPaces, servers: readonly Backend[], now: number): number | undefined {
  if (servers.length === 0) return undefined
  return servers.reduce((sum, { id }) => sum + paces.read(id, now).tokensPerMs, 0) / servers.length
}
