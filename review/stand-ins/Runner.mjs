import net from 'node:net'
import { names } from './names.mjs'

const HEAD_END = '\r\n\r\n'

/**
 * Stand-in for a runner, on plain sockets, so that a test determines each byte of its answers. `handle` is called with each request and answers it by
 * `write` of the request's connection; a connection carries one request at a time.
 */
export class Runner {
  constructor ({ id, service, slots, handle }) {
    Object.assign(this, { id, service, slots, handle })
    this.sockets = new Set()
    this.server = net.createServer((socket) => this.accept(socket))
  }

  async start () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  /** Ends as a process does: the port is closed and all connections break. */
  stop () {
    this.server.close()
    for (const socket of this.sockets) socket.destroy()
  }

  buildEntry (beat, state = 'ready') {
    const { service, address: addr, slots } = this
    return { service, addr, zone: 'hall-a', version: 'v1', slots, state, [names.server.cold]: 0, seq: beat }
  }

  accept (socket) {
    this.sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('close', () => this.sockets.delete(socket))
    socket.on('error', () => undefined)
    let bytes = Buffer.alloc(0)
    socket.on('data', (chunk) => {
      bytes = Buffer.concat([bytes, chunk])
      for (let request = parseRequest(bytes); request; request = parseRequest(bytes)) {
        bytes = bytes.subarray(request.size)
        this.handle(request, socket, this)
      }
    })
  }
}

/** Parses a request whose body has a length; undefined while it is incomplete. */
function parseRequest (bytes) {
  const end = bytes.indexOf(HEAD_END)
  if (end < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const [method, path] = first.split(' ')
  const headers = Object.fromEntries(lines.map((line) => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  const length = Number(headers['content-length'] ?? 0)
  const bodyAt = end + HEAD_END.length
  if (bytes.length < bodyAt + length) return undefined
  const id = headers[names.headers.requestId.toLowerCase()] ?? ''
  return { method, path, headers, id, body: bytes.subarray(bodyAt, bodyAt + length), size: bodyAt + length }
}

/** Renders a whole answer of a runner; `headers` has further ones. */
export function renderAnswer (status, id, { body = '', headers = {} } = {}) {
  const lines = Object.entries({ [names.headers.requestId]: id, ...headers, 'Content-Length': Buffer.byteLength(body) })
  return `HTTP/1.1 ${status}\r\n${lines.map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`
}

export function renderSuccess (runner, id) {
  return renderAnswer('200 OK', id, { body: `${runner.id} ran ${id}`, headers: { [names.headers.stamp]: `stamp.${runner.id}.${id}` } })
}

/** An answer that promises that the request has not run. */
export function renderRefusal (status, id, headers = {}) {
  return renderAnswer(status, id, { headers: { [names.headers.notRun]: '1', ...headers } })
}
