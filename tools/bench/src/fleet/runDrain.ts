import { DemoSystem, readStreamText, sendRequest, type DemoResponse } from '@pulleystack/program.demo'
import { printReport, roundTo, type Row } from '../report.js'

const INSTANCE_COUNT = 4
const STREAMS_PER_STOP = 20
const TOKENS_PER_STREAM = 300
const CALLER_COUNT = 8
const LIFETIME_SECONDS = 2

interface Tally {
  sent: number
  whole: number
  refused: number
  cut: number
}

/** Stops two instances one after the other under traffic from callers that cache directory answers, and counts failed requests. */
export async function runDrain (): Promise<void> {
  const system = await DemoSystem.start({
    instances: INSTANCE_COUNT,
    change: { directory: { lifetimeSeconds: LIFETIME_SECONDS, leastInstances: INSTANCE_COUNT } },
  })
  await system.applyExamples()
  await system.waitForModels()
  const tallies: Record<string, Tally> = { lookups: createTally(), streams: createTally() }
  const state = { running: true }
  const callers = Array.from({ length: CALLER_COUNT }, () => runCaller(system, tallies['lookups'] as Tally, state))
  const rows: Row[] = []
  for (const instance of system.instances.slice(1, 3)) {
    const streams = Array.from({ length: STREAMS_PER_STOP }, (_, i) => runStream(instance.address, i, tallies['streams'] as Tally))
    await new Promise((resolve) => setTimeout(resolve, 300))
    const started = performance.now()
    const cutRequests = await instance.stop()
    system.standIns.list.removeInstance(instance.name)
    rows.push({ 'stopped': instance.name, 'took s': roundTo((performance.now() - started) / 1000, 1), 'requests cut': cutRequests })
    await Promise.all(streams)
  }
  state.running = false
  await Promise.all(callers)
  for (const [kind, tally] of Object.entries(tallies)) rows.push({ stopped: `all ${kind}`, ...tally })
  printReport('drain', rows, { streamsAtEachStop: STREAMS_PER_STOP, tokensPerStream: TOKENS_PER_STREAM, lifetimeSeconds: LIFETIME_SECONDS })
  await system.close()
}

function createTally (): Tally {
  return { sent: 0, whole: 0, refused: 0, cut: 0 }
}

/** Sends one lookup after another to the addresses of a directory answer, which is fetched again when its lifetime expires. */
async function runCaller (system: DemoSystem, tally: Tally, state: { running: boolean }): Promise<void> {
  const directoryAddress = system.addresses[0] as string
  while (state.running) {
    const directory = await sendRequest(directoryAddress, { method: 'GET', path: '/v1/addresses?service=gauges', key: 'demo-shorewatch-emergency' })
    const { addresses, lifetimeSeconds } = JSON.parse(directory.body) as { addresses: { address: string }[], lifetimeSeconds: number }
    const expiresAt = performance.now() + lifetimeSeconds * 1000
    for (let i = 0; performance.now() < expiresAt && state.running; i++) {
      const { address } = addresses[i % addresses.length] as { address: string }
      countAnswer(tally, await send(address, { method: 'GET', path: `/services/gauges/status/${i}`, key: 'demo-shorewatch-emergency' }), (it) => it.status === 200)
      await new Promise((resolve) => setTimeout(resolve, 5))
    }
  }
}

async function runStream (address: string, i: number, tally: Tally): Promise<void> {
  const body = { model: 'appeal-large', stream: true, max_tokens: TOKENS_PER_STREAM, prompt: `long-${i}` }
  const answer = await send(address, { method: 'POST', path: '/v1/completions', key: 'demo-peritos-firm', body })
  countAnswer(tally, answer, (it) => readStreamText(it.body)?.split(' ').length === TOKENS_PER_STREAM + 1)
}

function send (address: string, opts: Parameters<typeof sendRequest>[1]): Promise<DemoResponse | undefined> {
  return sendRequest(address, opts).catch(() => undefined)
}

function countAnswer (tally: Tally, answer: DemoResponse | undefined, isComplete: (answer: DemoResponse) => boolean): void {
  tally.sent++
  if (!answer || answer.status !== 200) tally.refused++
  else if (isComplete(answer)) tally.whole++
  else tally.cut++
}
