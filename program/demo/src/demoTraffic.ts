import { RandomSource } from '@pulleystack/core.clock'
import { readStreamText, sendRequest, type DemoResponse } from './DemoCaller.js'
import type { StandIns } from './startStandIns.js'

const TOKENS_PER_RESPONSE = 24
const ROUNDS = 40

/** Results of the demo's requests; duplicates are counted at the stand-ins. */
export interface DemoOutcome {
  requests: number
  complete: number
  lost: number
  duplicated: number
  /** Request id of the last complete streamed draft. */
  sampleRequestId: string
  byKind: Record<string, { sent: number, complete: number, worstMs: number }>
  failures: string[]
}

interface DemoCall {
  kind: string
  work: string
  send: (address: string) => Promise<DemoResponse>
  isComplete: (answer: DemoResponse) => boolean
}

/** Sends mixed requests of both partners, each to a random address. */
export async function runTraffic (addresses: readonly string[], standIns: StandIns): Promise<DemoOutcome> {
  const random = new RandomSource(7)
  const outcome: DemoOutcome = { requests: 0, complete: 0, lost: 0, duplicated: 0, sampleRequestId: '', byKind: {}, failures: [] }
  for (let round = 0; round < ROUNDS; round++) {
    const calls = buildRound(round)
    await Promise.all(calls.map((call) => runCall(call, random.pickOne(addresses), outcome)))
  }
  outcome.duplicated = countDuplicates(standIns)
  outcome.lost = outcome.requests - outcome.complete
  return outcome
}

async function runCall (call: DemoCall, address: string, outcome: DemoOutcome): Promise<void> {
  const started = performance.now()
  const answer = await call.send(address).catch((cause: Error): DemoResponse => ({ status: 0, headers: {}, body: cause.message, isComplete: false }))
  const counts = outcome.byKind[call.kind] ?? { sent: 0, complete: 0, worstMs: 0 }
  outcome.byKind[call.kind] = counts
  outcome.requests++
  counts.sent++
  counts.worstMs = Math.max(counts.worstMs, performance.now() - started)
  if (!answer.isComplete || !call.isComplete(answer)) {
    outcome.failures.push(`${call.kind} ${call.work}: status ${answer.status}, ${answer.body.slice(0, 200)}`)
    return
  }
  outcome.complete++
  counts.complete++
  if (call.kind === 'streamed draft') outcome.sampleRequestId = String(answer.headers['pulleystack-request'])
}

function buildRound (round: number): DemoCall[] {
  return [
    buildDraft('streamed draft', 'demo-peritos-firm', round % 2 === 0 ? 'appeal-large' : 'appeal-cartago', `parcel-${round}`),
    buildDraft('streamed briefing', 'demo-shorewatch-planner', 'surge-briefing', `basin-${round}`),
    buildReview(round),
    buildLookup('plot lookup', 'demo-peritos-notary', `/services/window/plots/${round}`, `plot-${round}`),
    buildLookup('gauge lookup', 'demo-shorewatch-emergency', `/services/gauges/status/${round}`, `gauge-${round}`),
    buildRoutedCall('routed lookup', 'GET', `/plots/${round}`, `routed-plot-${round}`),
    buildRoutedCall('routed filing', 'POST', `/filings/${round}`, `routed-filing-${round}`),
    buildStamp(round),
    buildWarning(round),
  ]
}

function buildDraft (kind: string, key: string, model: string, work: string): DemoCall {
  const content = `${'Facts of the parcel and the law that applies to it. '.repeat(12)} ${work}`
  const body = { model, stream: true, max_tokens: TOKENS_PER_RESPONSE, messages: [{ role: 'user', content }] }
  return {
    kind,
    work,
    send: (address) => sendRequest(address, { method: 'POST', path: '/v1/chat/completions', key, body }),
    isComplete: (answer) => readStreamText(answer.body) === buildExpectedText(work, TOKENS_PER_RESPONSE),
  }
}

function buildReview (round: number): DemoCall {
  const work = `review-${round}`
  const body = { model: 'zoning-review', max_tokens: TOKENS_PER_RESPONSE, prompt: `Zoning of ${work}` }
  return {
    kind: 'unstreamed review',
    work,
    send: (address) => sendRequest(address, { method: 'POST', path: '/v1/completions', key: 'demo-peritos-firm', body }),
    isComplete: (answer) => (JSON.parse(answer.body) as { choices?: { text: string }[] }).choices?.[0]?.text === buildExpectedText(work, TOKENS_PER_RESPONSE),
  }
}

function buildLookup (kind: string, key: string, path: string, work: string): DemoCall {
  return {
    kind,
    work,
    send: (address) => sendRequest(address, { method: 'GET', path, key }),
    isComplete: (answer) => answer.status === 200 && answer.body.includes(path.split('/').at(-1) ?? ''),
  }
}

/** Builds a call that is matched to a route by its host and path. */
function buildRoutedCall (kind: string, method: string, path: string, work: string): DemoCall {
  return {
    kind,
    work,
    send: (address) => sendRequest(address, { method, path, key: 'demo-peritos-notary', headers: { host: 'window.peritos.example', work } }),
    isComplete: (answer) => answer.status === 200 && answer.body.includes(work),
  }
}

/** Builds a call that sends a stamp twice under one idempotency key; it must run only once. */
function buildStamp (round: number): DemoCall {
  const work = `stamp-${round}`
  const opts = { method: 'POST', path: '/services/window/stamps', key: 'demo-peritos-notary', headers: { 'idempotency-key': work, work }, body: { plot: round } }
  return {
    kind: 'stamp, sent twice',
    work,
    send: async (address) => {
      const [first, second] = await Promise.all([sendRequest(address, opts), sendRequest(address, opts)])
      return first.body === second.body ? first : { ...first, isComplete: false }
    },
    isComplete: (answer) => answer.status === 200 && answer.body.includes(work),
  }
}

function buildWarning (round: number): DemoCall {
  const work = `warning-${round}`
  const body = { model: 'warning-superior', max_tokens: TOKENS_PER_RESPONSE, prompt: `Issue ${work}` }
  return {
    kind: 'warning',
    work,
    send: (address) => sendRequest(address, { method: 'POST', path: '/v1/completions', key: 'demo-shorewatch-emergency', headers: { 'idempotency-key': work }, body }),
    isComplete: (answer) => answer.body.includes(`${work}#0`),
  }
}

function buildExpectedText (work: string, tokens: number): string {
  return Array.from({ length: tokens }, (_, i) => `${work.slice(0, 24)}#${i} `).join('')
}

/** Counts repeated runs of work at plain services and repeated attempts at engines. */
function countDuplicates (standIns: StandIns): number {
  let duplicates = 0
  for (const service of standIns.plainServices.values()) {
    for (const runs of service.runs.values()) duplicates += runs - 1
  }
  for (const engine of standIns.engines) duplicates += engine.batch.startedAttempts.length - new Set(engine.batch.startedAttempts).size
  return duplicates
}
