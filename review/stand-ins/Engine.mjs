import { Runner, renderAnswer } from './Runner.mjs'
import { names } from './names.mjs'

const REPORT_LAG_MS = 100
const EVENTS = 4
const EVENT_MS = 20
const MISDIRECTED = '421 Misdirected Request'

/**
 * Stand-in for a model runner. It carries out one order at a time, checks the expected count of orders when it does so, and falls when it is ordered to load
 * more than it holds. It may start again under its id: it then holds nothing, and its count starts anew.
 */
export class Engine {
  constructor ({ id, service, modelMb, roomMb, loadMs, models, orders, record, store }) {
    Object.assign(this, { id, service, modelMb, roomMb, loadMs, record, store, beats: 0, isUp: false })
    this.models = new Set(models)
    this.orders = orders
    this.states = []
    this.life = 0
    this.born = Date.now()
    this.runner = new Runner({ id, service, slots: 16, handle: (request, socket) => this.handle(request, socket) })
  }

  async start () {
    await this.runner.start()
    this.isUp = true
    this.keepState()
    this.timer = setInterval(() => this.writeEntry(), 1_200)
  }

  stop () {
    clearInterval(this.timer)
    this.runner.stop()
  }

  /** Crashes, and starts again after `downMs` under the same id and address. */
  crash (downMs) {
    this.record.add(`${this.id} crashes`)
    this.isUp = false
    this.life++
    for (const socket of this.runner.sockets) socket.destroy()
    setTimeout(() => {
      Object.assign(this, { isUp: true, born: Date.now(), orders: 0, busy: undefined, states: [] })
      this.models.clear()
      this.record.add(`${this.id} starts again under its id and holds nothing`)
      this.keepState()
    }, downMs)
  }

  /** Carries out an order; returns the status that answers it. */
  take ({ op, model, expected }) {
    if (this.busy) return 409
    if (expected !== undefined && expected !== this.orders) return 409
    if (op === 'load' ? this.models.has(model) : !this.models.has(model)) return 200
    if (op === 'load' && (this.models.size + 1) * this.modelMb > this.roomMb) this.fall?.(model)
    this.orders++
    this.busy = { op, model }
    this.record.add(`${this.id} begins to ${op} ${model}, order ${this.orders} of its life; it holds ${[...this.models].join(' ')}`)
    this.keepState()
    const { life } = this
    setTimeout(() => {
      if (life === this.life) this.finish(op, model)
    }, op === 'load' ? this.loadMs : 50)
    return 202
  }

  finish (op, model) {
    if (op === 'load') this.models.add(model)
    else this.models.delete(model)
    this.busy = undefined
    this.keepState()
  }

  keepState () {
    const models = [...this.models].map((name) => ({ name, version: 1, adapters: [] }))
    this.states.push({ at: performance.now(), state: { stage: 'both', born: this.born, models, busy: this.busy !== undefined, seq: this.orders } })
    this.writeEntry()
  }

  writeEntry () {
    if (!this.isUp) return
    const { stage, born, models } = this.states.at(-1).state
    this.store.put('servers', this.id, { ...this.runner.buildEntry(++this.beats), stage, born, models })
  }

  /** The state as it stood some time ago. */
  buildReport () {
    const { state } = this.states.findLast(({ at }) => at <= performance.now() - REPORT_LAG_MS) ?? this.states[0]
    return { ...state, queued: 0, running: 0, kvUsed: 0, kvTotal: 250_000, handles: 0 }
  }

  handle (request, socket) {
    if (!this.isUp) {
      socket.destroy()
      return
    }
    if (request.path === names.paths.report) socket.write(renderAnswer('200 OK', '', { body: JSON.stringify(this.buildReport()), headers: { 'Content-Type': 'application/json' } }))
    else if (request.path === names.paths.order) this.handleOrder(request, socket)
    else void this.generate(request, socket)
  }

  handleOrder (request, socket) {
    const order = JSON.parse(request.body.toString('utf8'))
    if (request.headers[names.headers.expected.toLowerCase()] !== this.id) {
      socket.write(renderAnswer(MISDIRECTED, ''))
      return
    }
    if (this.isLate?.(order)) return
    const status = this.take(order)
    this.record.add(`${this.id} answers ${status} to ${order.op} ${order.model}, expected ${order.expected}`)
    socket.write(renderAnswer(`${status} Answer`, ''))
  }

  async generate ({ headers, id }, socket) {
    const model = headers[names.headers.model.toLowerCase()]
    if (!this.models.has(model) || this.busy?.model === model) {
      socket.write(renderAnswer(MISDIRECTED, id))
      return
    }
    const { life } = this
    socket.write(`HTTP/1.1 200 OK\r\n${names.headers.requestId}: ${id}\r\n${names.headers.stamp}: stamp.${this.id}\r\n`
      + 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n')
    for (let event = 1; event <= EVENTS && life === this.life; event++) {
      const text = `id: ${event}\ndata: ${model}\n\n`
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
      await new Promise((resolve) => setTimeout(resolve, EVENT_MS))
    }
    if (life === this.life) socket.write('0\r\n\r\n')
  }
}
