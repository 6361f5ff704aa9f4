import { Entries } from '../stand-ins/Entries.mjs'
import { Runner, renderSuccess } from '../stand-ins/Runner.mjs'
import { Store } from '../stand-ins/Store.mjs'
import { sendRequest } from '../stand-ins/client.mjs'
import { HOST, buildConfiguration, keepEntry } from '../stand-ins/configuration.mjs'
import { runCase, sleep } from '../stand-ins/runCase.mjs'

const RUNNERS = 3
const SLOTS = 6
const WORK_MS = 40
const WAIT_MS = 1_000
/** Milliseconds between two requests. */
const PACE_MS = 12
/** `drainMs` of the settings: the runner serves on for so long after its entry has gone, and a little longer. */
const DRAIN_MS = 2_000
const LITTLE_LONGER_MS = 450
/** From the cut of the watch until a runner leaves. */
const LEAVES_AFTER_MS = 200
const ROUNDS = 3
const ROUND_MS = 8_000

class PlainRunner {
  constructor (id, record) {
    Object.assign(this, { record, arrivals: [], cut: [], running: new Map() })
    this.runner = new Runner({ id, service: 'lookup', slots: SLOTS, handle: (request, socket) => this.run(request, socket) })
  }

  run ({ id }, socket) {
    this.arrivals.push({ id, at: performance.now() })
    this.record.add(`${this.runner.id} runs ${id}`)
    const timer = setTimeout(() => {
      this.running.delete(id)
      if (!socket.destroyed) socket.write(renderSuccess(this.runner, id))
    }, WORK_MS)
    this.running.set(id, timer)
  }

  end () {
    for (const timer of this.running.values()) clearTimeout(timer)
    this.cut = [...this.running.keys()]
    this.record.add(`${this.runner.id} ends, with ${this.cut.length} requests running`)
    this.runner.stop()
  }
}

async function startRunner (id, { record, store, onStop }) {
  const plain = new PlainRunner(id, record)
  await plain.runner.start()
  onStop(() => plain.runner.stop())
  plain.stopEntry = keepEntry(store, plain.runner)
  onStop(plain.stopEntry)
  return plain
}

/** A runner leaves as planned without saying so: its entry goes, it serves on and ends. Returns the requests that reached it too late. */
async function leave (plain, { record, store }) {
  plain.stopEntry()
  store.remove('servers', plain.runner.id)
  const goneAt = performance.now()
  record.add(`the store takes the entry of ${plain.runner.id} away`)
  await sleep(DRAIN_MS + LITTLE_LONGER_MS)
  plain.end()
  return plain.arrivals.filter(({ at }) => at > goneAt + DRAIN_MS).map(({ id, at }) => `${id} reached ${plain.runner.id} ${Math.round(at - goneAt)} ms after its entry had gone`)
}

async function sendSteadily (nodes, until, { record, answered }) {
  const sent = []
  for (let count = 0; performance.now() < until; count++) {
    const { front } = nodes[count % nodes.length]
    const request = sendRequest({ address: front, host: HOST, path: '/lookup/one', waitMs: WAIT_MS, body: 'request' }).then((seen) => {
      if (seen.status !== 200) record.add(`${seen.id} is answered ${seen.status} by ${front}`)
      answered.push(seen)
    })
    sent.push(request)
    await sleep(PACE_MS)
  }
  await Promise.all(sent)
}

/** Cuts one waiting watch of the runners' entries, as soon as there is one. */
async function cutWatch ({ record, store }) {
  while (store.cutWatches('servers') === 0) await sleep(5)
  record.add('the store cuts a waiting watch of the runners\' entries')
}

await runCase(import.meta.dirname, async ({ record, hasTrouble, onStop }) => {
  const store = new Store()
  onStop(() => store.stop())
  await store.start()
  const parts = { record, store, onStop }
  const runners = []
  for (let at = 0; at < RUNNERS; at++) runners.push(await startRunner(`i-lookup-${at + 1}`, parts))
  store.put('config', 'main', buildConfiguration(1, [{ prefix: '/lookup/', kind: 'unsafe', timeoutMs: WAIT_MS, service: 'lookup' }]))
  const entries = new Entries()
  onStop(() => entries.stop())
  await entries.start(2, store.address)
  await sleep(2_000)
  const answered = []
  const traffic = sendSteadily(entries.nodes, performance.now() + ROUNDS * ROUND_MS, { record, answered })
  const late = []
  for (let round = 1; round <= ROUNDS; round++) {
    await sleep(ROUND_MS / 2)
    if (hasTrouble) await cutWatch(parts)
    await sleep(LEAVES_AFTER_MS)
    runners.push(await startRunner(`i-lookup-${RUNNERS + round}`, parts))
    const leaving = runners.shift()
    late.push(...await leave(leaving, parts))
  }
  await traffic
  record.add(`${answered.length} requests, ${answered.filter(({ status }) => status === 200).length} served`)
  return late.map((text) => `DRAIN: ${text}`)
})
