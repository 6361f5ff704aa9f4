import type { TimelineEvent } from '@pulleystack/timeline.events'

export interface TimelineFilter {
  request?: string
  order?: string
  object?: string
  partner?: string
  server?: string
  model?: string
  limit?: number
}

/** Events of one instance, and the milliseconds by which its clock is ahead of the local one. */
export interface InstanceEvents {
  events: TimelineEvent[]
  offsetMs: number
}

const FILTER_FIELDS = ['request', 'order', 'object', 'partner', 'server', 'model'] as const
const DEFAULT_LIMIT = 2_000

/** Returns true if the event has all the values that the filter sets. */
export function matchFilter (event: TimelineEvent, filter: TimelineFilter): boolean {
  return FILTER_FIELDS.every((field) => filter[field] === undefined || event[field] === filter[field])
}

/** Whether operators of a partner may see the event: it belongs to that partner, or to none. */
export function isVisibleToPartner (event: TimelineEvent, partner: string): boolean {
  const owner = event.partner ?? findPartner(event.model) ?? findPartner(event.object?.split('/').slice(2).join('/'))
  return owner === undefined || owner === partner
}

/** Merges events in the order of their wall-clock time, corrected by the offsets, and returns the newest `limit` events. */
export function mergeEvents (lists: readonly InstanceEvents[], limit = DEFAULT_LIMIT): TimelineEvent[] {
  const all = lists.flatMap(({ events, offsetMs }) => events.map((event) => ({ ...event, at: event.at - offsetMs })))
  all.sort((a, b) => a.at - b.at || (a.instance === b.instance ? a.seq - b.seq : a.instance.localeCompare(b.instance)))
  return all.slice(-limit)
}

function findPartner (name: string | undefined): string | undefined {
  const slash = name?.indexOf('/') ?? -1
  return slash > 0 ? name?.slice(0, slash) : undefined
}
