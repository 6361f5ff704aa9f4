import { Runner, renderRefusal } from '../stand-ins/Runner.mjs'
import { names } from '../stand-ins/names.mjs'

/**
 * Stand-in for a sound runner of streams: it runs up to `slots` requests at a time, queues up to `queue` more and refuses the rest as not run. A stream that
 * is taken up goes on after the event that the request names. Of a kind that has a pause, it is silent for that long before one event, and then goes on.
 */
export class StreamServer {
  constructor ({ id, service, slots, queue, kinds, record, store }) {
    Object.assign(this, { id, slots, queue, kinds, record, store, beats: 0 })
    this.running = new Set()
    this.waiting = []
    this.runner = new Runner({ id, service, slots, handle: (request, socket) => this.handle(request, socket) })
  }

  async start () {
    await this.runner.start()
    this.writeEntry()
    this.timer = setInterval(() => this.writeEntry(), 1_200)
  }

  stop () {
    clearInterval(this.timer)
    this.runner.stop()
  }

  writeEntry () {
    this.store.put('servers', this.id, this.runner.buildEntry(++this.beats))
  }

  handle ({ path, headers, id }, socket) {
    const expected = headers[names.headers.expected.toLowerCase()]
    if (expected !== undefined && expected !== this.id) {
      socket.write(renderRefusal('421 Misdirected Request', id))
      return
    }
    const kind = this.kinds.find(({ prefix }) => path.startsWith(prefix))
    const work = { id, kind, socket, event: Number(headers[names.headers.lastEvent.toLowerCase()] ?? 0), hasHead: false, hasPaused: false, isDone: false }
    if (this.running.size < this.slots) this.run(work)
    else if (this.waiting.length < this.queue) this.waiting.push(work)
    else {
      this.record.add(`${this.id} is full (${this.running.size} running, ${this.waiting.length} queued) and does not run ${kind.name} ${id} after event ${work.event}`)
      socket.write(renderRefusal('503 Service Unavailable', id))
      return
    }
    socket.once('close', () => this.drop(work))
  }

  drop (work) {
    if (work.isDone) return
    this.record.add(`${this.id}: the connection of ${work.kind.name} ${work.id} is closed by its sender after event ${work.event}`)
    this.end(work)
  }

  end (work) {
    clearTimeout(work.timer)
    work.isDone = true
    this.running.delete(work)
    this.waiting = this.waiting.filter((it) => it !== work)
    if (this.waiting.length > 0 && this.running.size < this.slots) this.run(this.waiting.shift())
  }

  run (work) {
    this.record.add(`${this.id} runs ${work.kind.name} ${work.id} after event ${work.event}`)
    this.running.add(work)
    this.plan(work)
  }

  plan (work) {
    const { pause, eventMs } = work.kind
    const pauses = pause !== undefined && !work.hasPaused && work.event === pause.afterEvent
    if (pauses) this.record.add(`${this.id} needs ${pause.ms} ms for the next event of ${work.kind.name} ${work.id}`)
    work.hasPaused ||= pauses
    work.timer = setTimeout(() => this.write(work), pauses ? pause.ms : eventMs)
  }

  write (work) {
    const { socket, id, kind } = work
    if (!work.hasHead) {
      socket.write(`HTTP/1.1 200 OK\r\n${names.headers.requestId}: ${id}\r\n${names.headers.stamp}: stamp.${this.id}\r\n`
        + 'Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n')
      work.hasHead = true
    }
    const text = `id: ${++work.event}\ndata: ${kind.name}\n\n`
    socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
    if (work.event < kind.events) {
      this.plan(work)
      return
    }
    socket.write('0\r\n\r\n')
    this.record.add(`${this.id} has sent the last event of ${kind.name} ${id}`)
    this.end(work)
  }
}
