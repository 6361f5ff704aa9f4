import { rankMembers } from '@pulleystack/core.hashing'

/**
 * This instance's part of a server's slots where no owner assigns them: as many for each instance, and one more for those that rank first for the server, so
 * that the parts of all add up to the slots.
 */
export function computeOwnSlots (self: string, others: readonly string[], server: string, slots: number): number {
  const ranked = rankMembers(server, [self, ...others], (instance) => instance)
  const rest = slots % ranked.length
  return Math.floor(slots / ranked.length) + (ranked.indexOf(self) < rest ? 1 : 0)
}
