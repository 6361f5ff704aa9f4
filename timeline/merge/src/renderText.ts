import type { TimelineEvent } from '@pulleystack/timeline.events'

const FIELD_NAMES = ['request', 'attempt', 'order', 'object', 'partner', 'server', 'model', 'version', 'fence', 'ms'] as const

/** Renders one line per event: milliseconds since the first event, instance, kind, fields. */
export function renderText (events: readonly TimelineEvent[]): string {
  const start = events[0]?.at ?? 0
  return events.map((event) => renderLine(event, start)).join('\n')
}

export function renderJsonLines (events: readonly TimelineEvent[]): string {
  return events.map((event) => JSON.stringify(event)).join('\n')
}

function renderLine (event: TimelineEvent, start: number): string {
  const time = `+${(event.at - start).toFixed(0)}`.padStart(8)
  const fields = FIELD_NAMES.flatMap((name) => event[name] === undefined ? [] : `${name}=${formatValue(event[name])}`)
  const note = event.note === undefined ? '' : `  (${event.note})`
  return `${time} ms  ${`${event.instance}@${event.dataHall}`.padEnd(20)} ${event.kind.padEnd(20)} ${fields.join(' ')}${note}`
}

function formatValue (value: string | number | undefined): string {
  return typeof value === 'number' ? String(Math.round(value * 10) / 10) : String(value)
}
