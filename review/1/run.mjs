import { Entries } from '../stand-ins/Entries.mjs'
import { Runner, renderRefusal, renderSuccess } from '../stand-ins/Runner.mjs'
import { Store } from '../stand-ins/Store.mjs'
import { sendRequest } from '../stand-ins/client.mjs'
import { HOST, buildConfiguration, keepEntry } from '../stand-ins/configuration.mjs'
import { runCase, sleep } from '../stand-ins/runCase.mjs'

const SLOTS = 1
/** A runner works on its slots and queues a few more. */
const QUEUE = 1
const WORK_MS = 15
const LONG_WORK_MS = 60
/** Pauses for which the runners ask; the one with the disruption is free again first. */
const RETRY_AFTER_S = ['0.15', '0.4']
const WAIT_MS = 1_000
/** Time after which the runners are full, and length of a round of traffic. */
const FILL_MS = 15
const ROUND_MS = 300
const SHORT_PATH = '/orders/short'
const LONG_PATH = '/orders/long'
const TRAFFIC_MS = 30_000
/** The disruption of the site file: 3 in 100 answers of at most six tenths of the runners, for 5 s at a time. */
const TROUBLE = { x: 0.03, everyMs: 10_000, forMs: 5_000 }
const PROMISES = new Set([408, 421, 429, 503])

/** A runner that refuses requests while it is full, and in the disruption repeats some of its answers late. */
class FullRunner {
  constructor (id, retryAfter, record, hasTrouble) {
    Object.assign(this, { retryAfter, record, hasTrouble, running: 0, queue: [], runs: [], answers: 0, surplus: 0, windowAt: 0 })
    this.late = new WeakMap()
    this.runner = new Runner({ id, service: 'ledger', slots: SLOTS, handle: (request, socket) => this.handle(request, socket) })
  }

  handle (request, socket) {
    this.record.add(`${this.runner.id} gets ${request.id}`)
    this.writeLate(socket)
    if (this.running < SLOTS) this.run(request, socket)
    else if (this.queue.length < QUEUE) this.queue.push({ request, socket })
    else this.refuse(request, socket)
  }

  /** Writes the surplus answer of the connection, in the place where the next one is due. */
  writeLate (socket) {
    const answer = this.late.get(socket)
    if (answer === undefined) return
    this.late.delete(socket)
    this.record.add(`${this.runner.id} sends a surplus answer: ${answer.id} has not run`)
    socket.write(answer.bytes)
  }

  refuse ({ id, path }, socket) {
    const bytes = renderRefusal('503 Service Unavailable', id, { 'Retry-After': this.retryAfter })
    this.record.add(`${this.runner.id} is full and refuses ${id}`)
    this.countAnswer()
    socket.write(bytes)
    if (path === SHORT_PATH && this.maySendSurplus()) this.late.set(socket, { id, bytes })
  }

  run (request, socket) {
    this.running++
    this.runs.push(request.id)
    this.record.add(`${this.runner.id} runs ${request.id}`)
    setTimeout(() => {
      this.running--
      this.countAnswer()
      this.record.add(`${this.runner.id} answers ${request.id}`)
      if (!socket.destroyed) socket.write(renderSuccess(this.runner, request.id))
      const next = this.queue.shift()
      if (next) this.run(next.request, next.socket)
    }, request.path === LONG_PATH ? LONG_WORK_MS : WORK_MS)
  }

  countAnswer () {
    this.answers++
  }

  /** Whether the disruption allows one more surplus answer: in its spans, for no more than its share of the answers of the span. */
  maySendSurplus () {
    const at = performance.now() % TROUBLE.everyMs
    const span = Math.floor(performance.now() / TROUBLE.everyMs)
    if (span !== this.windowAt) Object.assign(this, { windowAt: span, answers: 0, surplus: 0 })
    if (!this.hasTrouble || at > TROUBLE.forMs || this.surplus + 1 > this.answers * TROUBLE.x) return false
    this.surplus++
    return true
  }
}

/** Sends short requests one after the other; the first of them comes when the runners are full. */
async function sendInTurn (address, until, send) {
  await sleep(FILL_MS)
  while (performance.now() < until) await send(address, SHORT_PATH)
}

/** Rounds of traffic: client 2 fills the runners through one instance while client 1 uses the other. */
async function sendRounds ([first, second], until, send) {
  while (performance.now() < until) {
    const end = performance.now() + ROUND_MS
    const long = Array.from({ length: RETRY_AFTER_S.length * (SLOTS + QUEUE) }, () => send(second.front, LONG_PATH))
    await Promise.all([...long, sendInTurn(first.front, end, send)])
  }
}

await runCase(import.meta.dirname, async ({ record, hasTrouble, onStop }) => {
  const store = new Store()
  onStop(() => store.stop())
  await store.start()
  const runners = RETRY_AFTER_S.map((pause, at) => new FullRunner(`i-ledger-${at + 1}`, pause, record, hasTrouble && at === 0))
  for (const { runner } of runners) {
    await runner.start()
    onStop(() => runner.stop())
  }
  store.put('config', 'main', buildConfiguration(1, [{ prefix: '/orders/', kind: 'unsafe', timeoutMs: WAIT_MS, service: 'ledger' }]))
  for (const { runner } of runners) onStop(keepEntry(store, runner))
  const entries = new Entries()
  onStop(() => entries.stop())
  await entries.start(2, store.address)
  await sleep(1_000)
  const answered = []
  const until = performance.now() + TRAFFIC_MS
  await sendRounds(entries.nodes, until, async (address, path) => {
    const seen = await sendRequest({ address, host: HOST, path, waitMs: WAIT_MS, body: 'order' })
    record.add(`${path} ${seen.id} is answered ${seen.status}`)
    answered.push(seen)
  })
  await sleep(1_500)
  const counts = new Map()
  for (const id of runners.flatMap(({ runs }) => runs)) counts.set(id, (counts.get(id) ?? 0) + 1)
  const twice = [...counts].filter(([, runs]) => runs > 1).map(([id, runs]) => `TWICE: ${id} ran ${runs} times`)
  const refused = answered.filter(({ id, status }) => PROMISES.has(status) && counts.has(id)).map(({ id, status }) => `REFUSED: ${id} ran and was answered ${status}`)
  record.add(`${answered.length} requests, ${answered.filter(({ status }) => status === 200).length} served`)
  return [...twice, ...refused]
})
