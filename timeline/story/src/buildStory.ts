/** One decision as it stands in a log. */
export interface LogLine {
  /** Milliseconds since 1970, by the instance's own clock. */
  at: number
  instance: string
  kind: string
  fields: Readonly<Record<string, unknown>>
}

/** One line of a story. */
export interface StoryLine extends LogLine {
  /** The line is about the request itself, not about what the instance believed. */
  isOwn: boolean
}

/** What happened to one request. */
export interface RequestStory {
  request: string
  lines: readonly StoryLine[]
  conclusion: string
}

/** How long before a request beliefs are told; older ones are left out. */
const BELIEFS_BEFORE_MS = 5_000
const LOGGER_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v'])
const BELIEFS = new Set([
  'started',
  'stopping',
  'stopped',
  'reloaded',
  'dependency-lost',
  'dependency-regained',
  'config-applied',
  'holder-changed',
  'lease-taken',
  'lease-lost',
  'lease-handed-over',
  'peer-lost',
  'peer-joined',
  'lines-dropped',
])
const SERVER_BELIEFS = new Set(['backend-added', 'backend-changed', 'backend-removed', 'backend-ejected', 'backend-stated', 'backend-limit-changed', 'order-sent', 'order-settled'])

/** Reads JSON lines; whatever stands before the first brace of a line, and lines that are no JSON, is passed over. */
export function readLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap((line) => readLogLine(line) ?? [])
}

/** The story of one request; undefined when no line is about it. */
export function buildStory (lines: readonly LogLine[], request: string): RequestStory | undefined {
  const own = lines.filter((line) => line.fields['request'] === request)
  const first = own[0]
  if (!first) return undefined
  const from = Math.min(...own.map((line) => line.at)) - BELIEFS_BEFORE_MS
  const until = Math.max(...own.map((line) => line.at))
  const instances = new Set(own.map((line) => line.instance))
  const servers = new Set(own.flatMap(listServers))
  const isBelief = (line: LogLine): boolean => {
    if (!instances.has(line.instance) || line.at < from || line.at > until) return false
    return BELIEFS.has(line.kind) || (SERVER_BELIEFS.has(line.kind) && servers.has(line.fields['backend']))
  }
  const told = lines.filter((line) => line.fields['request'] === request || isBelief(line))
  const story = told.map((line): StoryLine => ({ ...line, isOwn: line.fields['request'] === request }))
  return { request, lines: story.sort((a, b) => a.at - b.at), conclusion: conclude(own) }
}

/** The server that a line names, or those whose limits it names. */
function listServers ({ fields }: LogLine): unknown[] {
  const limits = Array.isArray(fields['limits']) ? fields['limits'] as { backend?: unknown }[] : []
  return [fields['backend'], ...limits.map(({ backend }) => backend)].filter((id) => id !== undefined)
}

/** The story as text, with times in milliseconds from the request's first line. */
export function renderStory (story: RequestStory): string {
  const start = story.lines.find((line) => line.isOwn)?.at ?? 0
  const rows = story.lines.map((line) => {
    const offset = `${line.at - start}`.padStart(7)
    return `${offset} ms ${line.isOwn ? '*' : ' '} ${line.instance} ${line.kind} ${renderFields(line.fields)}`
  })
  return [`request ${story.request}`, ...rows, `conclusion: ${story.conclusion}`].join('\n')
}

function readLogLine (line: string): LogLine | undefined {
  const brace = line.indexOf('{')
  if (brace < 0) return undefined
  try {
    const value = JSON.parse(line.slice(brace)) as Record<string, unknown>
    const at = Date.parse(String(value['time']))
    if (typeof value['msg'] !== 'string' || Number.isNaN(at)) return undefined
    const fields = Object.fromEntries(Object.entries(value).filter(([name]) => !LOGGER_FIELDS.has(name)))
    return { at, instance: String(value['name']), kind: value['msg'], fields }
  } catch {
    return undefined
  }
}

function conclude (own: readonly LogLine[]): string {
  const ended = own.find((line) => line.kind === 'request-ended')
  if (!ended) return 'no line tells its end: the instance ended before it, or the line was dropped'
  const { status, code, reason, ms, firstMs, longestPauseMs } = ended.fields
  const failures = own.filter((line) => line.kind === 'attempt-failed').map((line) => `${String(line.fields['backend'])}: ${String(line.fields['reason'])}`)
  const held = own.find((line) => line.kind === 'limit-reached')
  const waited = own.find((line) => line.kind === 'request-waiting')
  const parts = [`answered ${String(status)} (${String(code)}) after ${String(ms)} ms`]
  if (reason !== undefined) parts.push(`because: ${String(reason)}`)
  if (waited) parts.push(`it waited for a place: ${String(waited.fields['reason'])}`)
  if (held) parts.push(`held back by limits that servers name: ${JSON.stringify(held.fields['limits'])}`)
  if (failures.length > 0) parts.push(`failed attempts: ${failures.join('; ')}`)
  if (firstMs !== undefined) parts.push(`first event after ${String(firstMs)} ms, longest pause ${String(longestPauseMs)} ms`)
  return parts.join('; ')
}

function renderFields (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).filter(([name]) => name !== 'request').map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(' ')
}
