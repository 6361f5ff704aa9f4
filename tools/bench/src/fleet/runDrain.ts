import { DemoSystem, readStreamText, sendRequest, type DemoResponse } from '@pulleystack/program.demo'
import { printReport, roundTo, type Row } from '../report.js'

const INSTANCES = 4
const STREAMS = 20
const STREAM_TOKENS = 300
const CALLERS = 8
const LIFETIME_SECONDS = 2

interface Tally {
  sent: number
  whole: number
  refused: number
  cut: number
}

/** Planned stops one after the other under traffic of callers that keep directory answers for their whole lifetime. */
export async function runDrain (): Promise<void> {
  const system = await DemoSystem.start({ instances: INSTANCES, change: { directory: { lifetimeSeconds: LIFETIME_SECONDS, leastInstances: INSTANCES } } })
  await system.applyExamples()
  await system.waitForModels()
  const tallies: Record<string, Tally> = { lookups: createTally(), streams: createTally() }
  const state = { running: true }
  const callers = Array.from({ length: CALLERS }, () => runCaller(system, tallies['lookups'] as Tally, state))
  const rows: Row[] = []
  for (const instance of system.instances.slice(1, 3)) {
    const streams = Array.from({ length: STREAMS }, (_, i) => runStream(instance.address, i, tallies['streams'] as Tally))
    await new Promise((resolve) => setTimeout(resolve, 300))
    const started = performance.now()
    const cut = await instance.stop()
    system.standIns.list.removeInstance(instance.name)
    rows.push({ 'stopped': instance.name, 'took s': roundTo((performance.now() - started) / 1000, 1), 'requests cut': cut })
    await Promise.all(streams)
  }
  state.running = false
  await Promise.all(callers)
  for (const [kind, tally] of Object.entries(tallies)) rows.push({ stopped: `all ${kind}`, ...tally })
  printReport('drain', rows, { streamsAtEachStop: STREAMS, tokensPerStream: STREAM_TOKENS, lifetimeSeconds: LIFETIME_SECONDS })
  await system.close()
}

function createTally (): Tally {
  return { sent: 0, whole: 0, refused: 0, cut: 0 }
}

/** Asks the directory, keeps the answer for its lifetime, and sends one lookup after the other. */
async function runCaller (system: DemoSystem, tally: Tally, state: { running: boolean }): Promise<void> {
  const first = system.addresses[0] as string
  while (state.running) {
    const directory = await sendRequest(first, { method: 'GET', path: '/v1/addresses?service=gauges', key: 'demo-shorewatch-emergency' })
    const { addresses, lifetimeSeconds } = JSON.parse(directory.body) as { addresses: { address: string }[], lifetimeSeconds: number }
    const until = performance.now() + lifetimeSeconds * 1000
    for (let i = 0; performance.now() < until && state.running; i++) {
      const { address } = addresses[i % addresses.length] as { address: string }
      note(tally, await send(address, { method: 'GET', path: `/services/gauges/status/${i}`, key: 'demo-shorewatch-emergency' }), (it) => it.status === 200)
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
  }
}

async function runStream (address: string, i: number, tally: Tally): Promise<void> {
  const body = { model: 'appeal-large', stream: true, max_tokens: STREAM_TOKENS, prompt: `long-${i}` }
  const answer = await send(address, { method: 'POST', path: '/v1/completions', key: 'demo-peritos-firm', body })
  note(tally, answer, (it) => readStreamText(it.body)?.split(' ').length === STREAM_TOKENS + 1)
}

function send (address: string, opts: Parameters<typeof sendRequest>[1]): Promise<DemoResponse | undefined> {
  return sendRequest(address, opts).catch(() => undefined)
}

function note (tally: Tally, answer: DemoResponse | undefined, isWhole: (answer: DemoResponse) => boolean): void {
  tally.sent++
  if (!answer || answer.status !== 200) tally.refused++
  else if (isWhole(answer)) tally.whole++
  else tally.cut++
}
