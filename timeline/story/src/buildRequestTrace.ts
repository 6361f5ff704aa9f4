/** A parsed line of the decision log. */
export interface LogLine {
  /** Wall-clock time of the instance, in milliseconds since 1970. */
  at: number
  instance: string
  kind: string
  fields: Readonly<Record<string, unknown>>
}

/** A log line that explains a request. */
export interface TraceLine extends LogLine {
  /** True if the line is about the request itself, false if it is about the state of the instance. */
  isAboutRequest: boolean
}

/** The log lines that explain a request, with a summary. */
export interface RequestTrace {
  request: string
  lines: readonly TraceLine[]
  conclusion: string
}

/** Lines on the state of an instance are included from this time before the request. */
const CONTEXT_BEFORE_MS = 5_000
const LOGGER_FIELDS = new Set(['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v'])
const CONTEXT_KINDS = new Set([
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
  'cut-off',
  'reconnected',
  'lines-dropped',
])
const SERVER_KINDS = new Set([
  'backend-added',
  'backend-changed',
  'backend-removed',
  'backend-ejected',
  'backend-unreachable',
  'backend-reported-down',
  'backend-stated',
  'backend-limit-changed',
  'order-sent',
  'order-settled',
])

/** Parses JSON log lines. Ignores text before the first brace of a line, and lines that are not JSON. */
export function readLogLines (text: string): LogLine[] {
  return text.split('\n').flatMap((line) => readLogLine(line) ?? [])
}

/**
 * Collects the lines that explain a request; undefined if no line is about it. The conclusion names the load of the server if the stream had a pause
 * over `allowedPauseMs` milliseconds.
 */
export function buildRequestTrace (lines: readonly LogLine[], request: string, allowedPauseMs = Infinity): RequestTrace | undefined {
  const requestLines = lines.filter((line) => line.fields['request'] === request)
  const first = requestLines[0]
  if (!first) return undefined
  const from = Math.min(...requestLines.map((line) => line.at)) - CONTEXT_BEFORE_MS
  const until = Math.max(...requestLines.map((line) => line.at))
  const instances = new Set(requestLines.map((line) => line.instance))
  const backends = new Set(requestLines.flatMap(listBackends))
  const isContext = (line: LogLine): boolean => {
    if (!instances.has(line.instance) || line.at < from || line.at > until) return false
    return CONTEXT_KINDS.has(line.kind) || (SERVER_KINDS.has(line.kind) && backends.has(line.fields['backend']))
  }
  const included = lines.filter((line) => line.fields['request'] === request || isContext(line))
  const storyLines = included.map((line): TraceLine => ({ ...line, isAboutRequest: line.fields['request'] === request }))
  return { request, lines: storyLines.sort((a, b) => a.at - b.at), conclusion: describeConclusion(requestLines, allowedPauseMs) }
}

/** Lists the backend server of a line, and those in its `limits` field. */
function listBackends ({ fields }: LogLine): unknown[] {
  const limits = Array.isArray(fields['limits']) ? fields['limits'] as { backend?: unknown }[] : []
  return [fields['backend'], ...limits.map(({ backend }) => backend)].filter((id) => id !== undefined)
}

/** Renders the lines as text, with times in milliseconds since the request's first line. */
export function renderRequestTrace (story: RequestTrace): string {
  const start = story.lines.find((line) => line.isAboutRequest)?.at ?? 0
  const rows = story.lines.map((line) => {
    const offset = `${line.at - start}`.padStart(7)
    return `${offset} ms ${line.isAboutRequest ? '*' : ' '} ${line.instance} ${line.kind} ${renderFields(line.fields)}`
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

function describeConclusion (lines: readonly LogLine[], allowedPauseMs: number): string {
  // The instance that a request was forwarded to logs an end of its own, which is earlier.
  const ended = lines.findLast((line) => line.kind === 'request-ended')
  if (!ended) return 'the end of the request is not logged: the instance stopped before it, or the line was dropped'
  const { status, code, reason, ms, firstMs, longestPauseMs, incompleteBytes } = ended.fields
  const failures = lines.filter((line) => line.kind === 'attempt-failed').map((line) => `${String(line.fields['backend'])}: ${String(line.fields['reason'])}`)
  const forwarded = lines.filter((line) => line.kind === 'request-forwarded').map((line) => String(line.fields['peer']))
  const limited = lines.find((line) => line.kind === 'limit-reached')
  const waited = lines.find((line) => line.kind === 'request-waiting')
  const parts = [`answered ${String(status)} (${String(code)}) after ${String(ms)} ms`]
  if (reason !== undefined) parts.push(`because: ${String(reason)}`)
  if (waited) parts.push(`waited for a slot: ${String(waited.fields['reason'])}`)
  if (limited) parts.push(`delayed by rate limits of servers: ${JSON.stringify(limited.fields['limits'])}`)
  if (failures.length > 0) parts.push(`failed attempts: ${failures.join('; ')}`)
  if (forwarded.length > 0) parts.push(`forwarded, as the servers could not be reached from there, to ${forwarded.join(', ')}`)
  if (firstMs !== undefined) parts.push(`first event after ${String(firstMs)} ms, longest pause ${String(longestPauseMs)} ms`)
  if (incompleteBytes !== undefined) parts.push(`the last server response ended ${String(incompleteBytes)} bytes into an event`)
  if (Number(longestPauseMs) > allowedPauseMs) parts.push(...lines.filter((line) => line.kind === 'attempt-sent').map(describeServerLoad))
  return parts.join('; ')
}

function describeServerLoad ({ fields }: LogLine): string {
  return `${String(fields['backend'])} had ${String(fields['prefillTokens'])} prompt tokens queued for prefill and ${String(fields['running'])} requests when the request was sent`
}

function renderFields (fields: Readonly<Record<string, unknown>>): string {
  return Object.entries(fields).filter(([name]) => name !== 'request').map(([name, value]) => `${name}=${JSON.stringify(value)}`).join(' ')
}
