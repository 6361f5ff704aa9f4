import { randomBytes } from 'node:crypto'
import http from 'node:http'
import { Entries } from '../stand-ins/Entries.mjs'
import { Store } from '../stand-ins/Store.mjs'
import { HOST, buildConfiguration } from '../stand-ins/configuration.mjs'
import { names } from '../stand-ins/names.mjs'
import { runCase, sleep } from '../stand-ins/runCase.mjs'
import { StreamServer } from './StreamServer.mjs'

const SERVICE = 'writers'
const RUNNERS = 2
const SLOTS = 4
const QUEUE = 2
/** As in the sheet of shorewatch-glk: events, objective, time limit, priority and attempts; a client waits for 3,200 ms between two events. */
const BRIEFING = { name: 'briefing', prefix: '/briefing/', events: 10, eventMs: 100, aimMs: 800, timeoutMs: 5_000, priority: 1 }
const ADVISORY = { name: 'advisory', prefix: '/advisory/', events: 58, eventMs: 50, aimMs: 1_500, timeoutMs: 15_000, priority: 0 }
const PAUSE = { afterEvent: 4, ms: 1_800 }
/** Beside the briefing, as many as both runners have places for. */
const ADVISORIES = RUNNERS * (SLOTS + QUEUE) - 1
const ADVISORY_EVERY_MS = 60
const STOP_AT_MS = 400
const ADVISORIES_AT_MS = 700
const ROUNDS = 3
const GRACE_MS = 8_000
/** What the rules leave out: the last sixth of the grace time. */
const LAST_WORK_MS = GRACE_MS * 5 / 6

function buildStreamConfiguration () {
  const routes = [BRIEFING, ADVISORY]
  const configuration = buildConfiguration(1, routes.map(({ prefix, timeoutMs }) => ({ prefix, kind: 'stream', timeoutMs, service: SERVICE, attempts: 2 })))
  for (const [at, { aimMs, priority }] of routes.entries()) {
    Object.assign(configuration.routes[at], { resumable: true, targetLatencyMs: aimMs, priority, [names.route.pause]: 400 })
  }
  return configuration
}

/** Sends a request as a client does that stays until its time limit; resolves with what it has seen. */
function sendStream (address, kind) {
  const id = randomBytes(8).toString('hex')
  const sentAt = performance.now()
  const [ip, port] = address.split(':')
  const headers = {
    'Host': HOST,
    [names.headers.requestId]: id,
    [names.headers.deadline]: String(kind.timeoutMs),
    'Content-Length': 6,
  }
  const seen = new Promise((resolve) => {
    let text = ''
    let status = 0
    let hasLeft = false
    const finish = (isWhole) => {
      clearTimeout(timer)
      resolve({ id, status, isWhole, hasLeft, events: text.split('\n\n').length - 1, ms: performance.now() - sentAt })
    }
    const request = http.request({ host: ip, port, path: `${kind.prefix}text`, method: 'POST', headers, agent: false }, (response) => {
      status = response.statusCode
      response.on('data', (chunk) => {
        text += chunk
      })
      response.on('error', () => finish(false))
      response.on('end', () => finish(response.complete))
    })
    const timer = setTimeout(() => {
      hasLeft = true
      request.destroy()
    }, kind.timeoutMs + 500)
    request.on('error', () => finish(false))
    request.end('prompt')
  })
  return { id, seen }
}

function describe (kind, { id, status, isWhole, events, ms }) {
  return `client of ${kind.name} ${id}: ${status}, ${events} events, ${isWhole ? 'complete' : 'cut off'} after ${Math.round(ms)} ms`
}

/** One briefing through a machine that is stopped meanwhile, and advisories through the others; returns the break, if any. */
async function playRound ({ record, node, others }) {
  const briefing = sendStream(node.front, BRIEFING)
  record.add(`briefing ${briefing.id} is sent to ${node.name}`)
  await sleep(STOP_AT_MS)
  record.add(`SIGTERM to ${node.name}`)
  const ended = new Promise((resolve) => node.process.once('exit', resolve))
  node.process.kill('SIGTERM')
  await sleep(ADVISORIES_AT_MS - STOP_AT_MS)
  const advisories = []
  for (let at = 0; at < ADVISORIES; at++) {
    advisories.push(sendStream(others[at % others.length].front, ADVISORY).seen.then((seen) => record.add(describe(ADVISORY, seen))))
    await sleep(ADVISORY_EVERY_MS)
  }
  const seen = await briefing.seen
  record.add(describe(BRIEFING, seen))
  await Promise.all([...advisories, ended])
  const isExcused = seen.hasLeft || seen.ms >= BRIEFING.timeoutMs || seen.ms - STOP_AT_MS >= LAST_WORK_MS
  if (seen.isWhole || seen.events === 0 || isExcused) return []
  return [`LOST: ${node.name}, stopped as planned, ended briefing ${seen.id} after ${seen.events} of ${BRIEFING.events} events and ${Math.round(seen.ms)} ms`]
}

await runCase(import.meta.dirname, async ({ record, hasTrouble, onStop }) => {
  const store = new Store()
  onStop(() => store.stop())
  await store.start()
  const kinds = [hasTrouble ? { ...BRIEFING, pause: PAUSE } : BRIEFING, ADVISORY]
  for (let at = 1; at <= RUNNERS; at++) {
    const server = new StreamServer({ id: `i-writer-${at}`, service: SERVICE, slots: SLOTS, queue: QUEUE, kinds, record, store })
    await server.start()
    onStop(() => server.stop())
  }
  store.put('config', 'main', buildStreamConfiguration())
  const entries = new Entries()
  onStop(() => entries.stop())
  await entries.start(3, store.address)
  await sleep(4_000)
  const breaks = []
  for (let round = 0; round < ROUNDS; round++) {
    const node = entries.nodes[round]
    breaks.push(...await playRound({ record, node, others: entries.nodes.filter((it) => it !== node) }))
    entries.launch(node)
    await sleep(6_000)
  }
  return breaks
})
