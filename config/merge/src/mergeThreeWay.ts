import equal from 'fast-deep-equal'

type JsonMap = Record<string, unknown>

/** One field that differs. */
export interface Difference {
  field: string
  before: unknown
  after: unknown
}

/**
 * Merges the desired value into the current one. Fields that were applied before and are no longer desired are removed; fields that were never
 * applied (set by others) stay. Lists are replaced as a whole.
 */
export function mergeThreeWay (lastApplied: unknown, desired: unknown, current: unknown): unknown {
  if (!isMap(desired) || !isMap(current)) return desired
  const last = isMap(lastApplied) ? lastApplied : {}
  const merged: JsonMap = {}
  for (const name of Object.keys(current)) {
    if (name in desired || !(name in last)) merged[name] = current[name]
  }
  for (const name of Object.keys(desired)) {
    merged[name] = name in current ? mergeThreeWay(last[name], desired[name], current[name]) : desired[name]
  }
  return merged
}

/** Lists the fields in which two values differ, with dotted paths. */
export function listDifferences (before: unknown, after: unknown, field = ''): Difference[] {
  if (equal(before, after)) return []
  if (!isMap(before) || !isMap(after)) return [{ field, before, after }]
  const names = new Set([...Object.keys(before), ...Object.keys(after)])
  return [...names].sort().flatMap((name) => listDifferences(before[name], after[name], field ? `${field}.${name}` : name))
}

function isMap (value: unknown): value is JsonMap {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
