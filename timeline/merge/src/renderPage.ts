import type { TimelineEvent } from '@pulleystack/timeline.events'

const ROW_HEIGHT = 22
const LABEL_WIDTH = 190
const CHART_WIDTH = 900
const COLOURS: Readonly<Record<string, string>> = {
  request: '#2563eb',
  attempt: '#059669',
  claim: '#9333ea',
  config: '#b45309',
  member: '#64748b',
  runner: '#dc2626',
  lease: '#0f766e',
  ledger: '#7c3aed',
  order: '#ea580c',
  model: '#16a34a',
  stop: '#111827',
}

const STYLE = `
body { font: 13px system-ui, sans-serif; margin: 24px; color: #111827; background: #f8fafc }
h1 { font-size: 18px } .sub { color: #64748b }
svg { background: #fff; border: 1px solid #e2e8f0; border-radius: 8px }
table { border-collapse: collapse; margin-top: 16px; width: 100%; background: #fff }
td, th { text-align: left; padding: 3px 8px; border-bottom: 1px solid #e2e8f0; font-variant-numeric: tabular-nums }
tr:hover { background: #eff6ff } .dot { display: inline-block; width: 9px; height: 9px; border-radius: 5px; margin-right: 6px }
input { padding: 4px 8px; width: 320px; margin-top: 12px }
`
const SCRIPT = `
const input = document.querySelector('input')
input.addEventListener('input', () => {
  for (const row of document.querySelectorAll('tbody tr')) row.hidden = !row.textContent.includes(input.value)
})
`

/** Renders a self-contained HTML page: a chart with one row per instance, and a searchable table. */
export function renderPage (events: readonly TimelineEvent[], title: string): string {
  const head = `<meta charset="utf-8"><title>${escapeText(title)}</title><style>${STYLE}</style>`
  const span = events.length === 0 ? 0 : (events.at(-1)?.at ?? 0) - (events[0]?.at ?? 0)
  const summary = `<p class="sub">${events.length} events over ${span.toFixed(0)} ms, times corrected for clock offsets</p>`
  const search = '<input placeholder="filter rows ...">'
  return `<!doctype html><html><head>${head}</head><body><h1>${escapeText(title)}</h1>${summary}${renderChart(events)}${renderLegend()}${search}${renderTable(events)}<script>${SCRIPT}</script></body></html>`
}

function renderChart (events: readonly TimelineEvent[]): string {
  const instances = [...new Set(events.map((event) => event.instance))].sort()
  const start = events[0]?.at ?? 0
  const span = Math.max(1, (events.at(-1)?.at ?? 0) - start)
  const height = (instances.length + 1) * ROW_HEIGHT
  const rows = instances.map((name, i) => {
    const y = (i + 1) * ROW_HEIGHT
    return `<text x="8" y="${y + 4}">${escapeText(name)}</text><line x1="${LABEL_WIDTH}" x2="${LABEL_WIDTH + CHART_WIDTH}" y1="${y}" y2="${y}" stroke="#e2e8f0"/>`
  })
  const dots = events.map((event) => {
    const x = LABEL_WIDTH + (event.at - start) / span * CHART_WIDTH
    const y = (instances.indexOf(event.instance) + 1) * ROW_HEIGHT
    return `<circle cx="${x.toFixed(1)}" cy="${y}" r="4" fill="${getColour(event)}" fill-opacity="0.75"><title>${escapeText(describeEvent(event, start))}</title></circle>`
  })
  return `<svg width="${LABEL_WIDTH + CHART_WIDTH + 20}" height="${height}" font-size="12">${rows.join('')}${dots.join('')}</svg>`
}

function renderLegend (): string {
  const entries = Object.entries(COLOURS).map(([name, colour]) => `<span class="dot" style="background:${colour}"></span>${name}&nbsp;&nbsp;`)
  return `<p>${entries.join('')}</p>`
}

function renderTable (events: readonly TimelineEvent[]): string {
  const start = events[0]?.at ?? 0
  const rows = events.map((event) => {
    const { instance, dataHall, kind, request, attempt, server, note } = event
    const cells = [(event.at - start).toFixed(1), instance, dataHall, kind, request, attempt, server, event.model ?? event.object, note]
    const dot = `<span class="dot" style="background:${getColour(event)}"></span>`
    return `<tr>${cells.map((cell, i) => `<td>${i === 3 ? dot : ''}${escapeText(String(cell ?? ''))}</td>`).join('')}</tr>`
  })
  const columns = ['ms', 'instance', 'data hall', 'event', 'request', 'attempt', 'server', 'model or object', 'note']
  return `<table><thead><tr>${columns.map((name) => `<th>${name}</th>`).join('')}</tr></thead><tbody>${rows.join('')}</tbody></table>`
}

function describeEvent (event: TimelineEvent, start: number): string {
  return `+${(event.at - start).toFixed(1)} ms ${event.kind} ${event.request ?? event.order ?? event.object ?? ''} ${event.note ?? ''}`
}

function getColour (event: TimelineEvent): string {
  return COLOURS[event.kind.split('.')[0] ?? ''] ?? '#111827'
}

function escapeText (text: string): string {
  return text.replace(/[&<>"]/g, (it) => `&#${it.charCodeAt(0)};`)
}
