import equal from 'fast-deep-equal'

type JsonMap = Record<string, unknown>

/** One field that differs. */
export interface Difference {
  field: string
  before: unknown
  after: unknown
}

/**
 * Merges what is asked for into what stands. A field that was applied last time and isn't asked for now is
 * removed; one that was never applied (somebody else set it) stays. Lists are replaced whole.
 */
export function mergeThreeWay (lastApplied: unknown, wanted: unknown, standing: unknown): unknown {
  if (!isMap(wanted) || !isMap(standing)) return wanted
  const last = isMap(lastApplied) ? lastApplied : {}
  const merged: JsonMap = {}
  for (const name of Object.keys(standing)) {
    if (name in wanted || !(name in last)) merged[name] = standing[name]
  }
  for (const name of Object.keys(wanted)) {
    merged[name] = name in standing ? mergeThreeWay(last[name], wanted[name], standing[name]) : wanted[name]
  }
  return merged
}

/** Lists the fields in which two values differ, with dotted names. */
export function listDifferences (before: unknown, after: unknown, field = ''): Difference[] {
  if (equal(before, after)) return []
  if (!isMap(before) || !isMap(after)) return [{ field, before, after }]
  const names = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...names].sort().flatMap((name) => listDifferences(before[name], after[name], field ? `${field}.${name}` : name))
}

function isMap (value: unknown): value is JsonMap {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
