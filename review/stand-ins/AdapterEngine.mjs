import { Runner, renderAnswer, renderRefusal } from './Runner.mjs'
import { names } from './names.mjs'

const REPORT_LAG_MS = 100
const LOAD_MS = 15
const BEAT_MS = 1_200
/** The store drops an entry after three heartbeats of silence. */
const LAPSE_MS = 3 * BEAT_MS

/**
 * Stand-in for a model runner that holds one model and some of its adapters. Both loading and unloading an adapter move its count of orders. An adapter that
 * requests use is unloaded when they have ended.
 */
export class AdapterEngine {
  constructor ({ id, service, model, slots, record, store, readStreamMs }) {
    Object.assign(this, { id, service, model, slots, record, store, readStreamMs, beats: 0, orders: 0, isCut: false })
    this.adapters = new Map()
    this.coming = new Set()
    this.leaving = new Set()
    this.states = []
    this.runner = new Runner({ id, service, slots: 32, handle: (request, socket) => this.handle(request, socket) })
  }

  async start () {
    await this.runner.start()
    this.keepState()
    this.timer = setInterval(() => this.writeEntry(), BEAT_MS)
  }

  stop () {
    clearInterval(this.timer)
    this.runner.stop()
  }

  /** Cuts the runner off from the store: it writes nothing, its entry goes after three heartbeats and is back when the cut has healed. */
  cutFromStore (forMs) {
    this.isCut = true
    this.record.add(`${this.id} is cut off from the store`)
    const lapse = setTimeout(() => {
      this.store.remove('servers', this.id)
      this.record.add(`the entry of ${this.id} goes`)
    }, LAPSE_MS)
    setTimeout(() => {
      clearTimeout(lapse)
      this.isCut = false
      this.record.add(`${this.id} reaches the store again`)
      this.writeEntry()
    }, forMs)
  }

  keepState () {
    const models = [{ name: this.model, version: 1, adapters: [...this.adapters.keys()] }]
    const coming = [...this.coming].map((adapter) => `${this.model}/${adapter}@1`)
    this.states.push({ at: performance.now(), state: { stage: 'both', models, busy: false, seq: this.orders, coming } })
  }

  writeEntry () {
    if (this.isCut) return
    const { stage, models } = this.states.at(-1).state
    this.store.put('servers', this.id, { ...this.runner.buildEntry(++this.beats), stage, models })
  }

  handle (request, socket) {
    if (request.path === names.paths.report) this.answerReport(socket)
    else if (request.path === names.paths.order) this.answerOrder(request, socket)
    else this.generate(request, socket)
  }

  answerReport (socket) {
    const { state } = this.states.findLast(({ at }) => at <= performance.now() - REPORT_LAG_MS) ?? this.states[0]
    const body = JSON.stringify({ ...state, queued: 0, running: 0, kvUsed: 0, kvTotal: 250_000, handles: 0 })
    socket.write(renderAnswer('200 OK', '', { body, headers: { 'Content-Type': 'application/json' } }))
  }

  answerOrder (request, socket) {
    const order = JSON.parse(request.body.toString('utf8'))
    const status = order.adapter === undefined || order.model !== this.model ? 400 : this.take(order)
    this.record.add(`${this.id} answers ${status} to ${order.op} ${order.adapter}, expected ${order.expected}; it holds ${[...this.adapters.keys(), ...this.coming].join(' ')}`)
    socket.write(renderAnswer(`${status} Answer`, ''))
  }

  take ({ op, adapter, expected }) {
    if (expected !== undefined && expected !== this.orders) return 409
    if (op === 'load') return this.load(adapter)
    if (!this.adapters.has(adapter)) return 200
    this.orders++
    if (this.adapters.get(adapter) > 0) this.leaving.add(adapter)
    else this.adapters.delete(adapter)
    this.keepState()
    return this.leaving.has(adapter) ? 202 : 200
  }

  load (adapter) {
    if (this.adapters.has(adapter) || this.coming.has(adapter)) return 200
    const held = this.adapters.size + this.coming.size
    if (held + 1 > this.slots) this.fall?.(adapter, held)
    this.orders++
    this.coming.add(adapter)
    this.keepState()
    setTimeout(() => {
      this.coming.delete(adapter)
      this.adapters.set(adapter, 0)
      this.keepState()
    }, LOAD_MS)
    return 202
  }

  generate ({ headers, id }, socket) {
    const [, adapter] = headers[names.headers.model.toLowerCase()].split('/')
    if (!this.adapters.has(adapter) || this.leaving.has(adapter)) {
      socket.write(renderRefusal(this.leaving.has(adapter) ? '503 Service Unavailable' : '421 Misdirected Request', id))
      return
    }
    this.adapters.set(adapter, this.adapters.get(adapter) + 1)
    const event = 'id: 1\ndata: text\n\n'
    socket.write(`HTTP/1.1 200 OK\r\n${names.headers.requestId}: ${id}\r\n${names.headers.stamp}: stamp.${this.id}\r\n`
      + `Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n${event.length.toString(16)}\r\n${event}\r\n`)
    setTimeout(() => {
      socket.write('0\r\n\r\n')
      this.endStream(adapter)
    }, this.readStreamMs())
  }

  endStream (adapter) {
    const left = this.adapters.get(adapter) - 1
    this.adapters.set(adapter, left)
    if (left > 0 || !this.leaving.delete(adapter)) return
    this.adapters.delete(adapter)
    this.keepState()
  }
}
