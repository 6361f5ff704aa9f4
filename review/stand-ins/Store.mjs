import http from 'node:http'
import { names } from './names.mjs'

const PAGE_SIZE = 500

/** Stand-in for the platform's store: objects by kind and name, one revision counter, conditional writes and watches. */
export class Store {
  constructor () {
    this.kinds = new Map()
    this.events = []
    this.revision = 0
    this.waiting = new Set()
    this.server = http.createServer((request, response) => void this.answer(request, response))
  }

  async start () {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve))
    this.address = `127.0.0.1:${this.server.address().port}`
  }

  stop () {
    this.server.closeAllConnections()
    this.server.close()
  }

  /** Makes or replaces an object, as the operator and the runners do. */
  put (kind, name, spec) {
    const present = this.find(kind).get(name)
    if (present && JSON.stringify(present.spec) === JSON.stringify(spec)) return present
    const made = present?.metadata.made ?? this.revision + 1
    return this.change(kind, { metadata: { name, revision: 0, made, finalizers: [], deleting: false }, spec, status: null }, false)
  }

  remove (kind, name) {
    const object = this.find(kind).get(name)
    if (object) this.change(kind, object, true)
  }

  /** Cuts the watches of a kind that wait at present; returns how many. */
  cutWatches (kind) {
    const cut = [...this.waiting].filter((watch) => watch.kind === kind)
    for (const watch of cut) watch.cut()
    return cut.length
  }

  find (kind) {
    if (!this.kinds.has(kind)) this.kinds.set(kind, new Map())
    return this.kinds.get(kind)
  }

  change (kind, object, gone) {
    const changed = { ...object, metadata: { ...object.metadata, revision: ++this.revision } }
    if (gone) this.find(kind).delete(object.metadata.name)
    else this.find(kind).set(object.metadata.name, changed)
    this.events.push({ kind, revision: this.revision, gone, object: changed })
    for (const watch of [...this.waiting]) watch.look()
    return changed
  }

  async answer (request, response) {
    const url = new URL(request.url, 'http://store')
    if (!url.pathname.startsWith(names.paths.objects)) {
      send(response, 404)
      return
    }
    const [kind, name] = url.pathname.slice(names.paths.objects.length).split('/').map(decodeURIComponent)
    if (request.method !== 'GET') await this.answerWrite({ kind, name, url, request }, response)
    else if (name !== undefined) this.answerRead(kind, name, response)
    else if (url.searchParams.has('watch')) this.answerWatch(kind, url, response)
    else this.answerList(kind, url.searchParams.get('after') ?? '', response)
  }

  answerRead (kind, name, response) {
    const object = this.find(kind).get(name)
    send(response, object ? 200 : 404, object)
  }

  answerList (kind, after, response) {
    const later = [...this.find(kind).keys()].sort().filter((name) => name > after)
    const items = later.slice(0, PAGE_SIZE).map((name) => this.find(kind).get(name))
    send(response, 200, { items, more: later.length > PAGE_SIZE, at: this.revision })
  }

  answerWatch (kind, url, response) {
    const from = Number(url.searchParams.get('watch'))
    const list = () => this.events.filter((event) => event.kind === kind && event.revision > from)
    const finish = () => {
      clearTimeout(timer)
      this.waiting.delete(watch)
      send(response, 200, { events: list().map(({ gone, object }) => ({ object, gone })), at: this.revision })
    }
    const timer = setTimeout(finish, Number(url.searchParams.get(names.query.wait) ?? 0))
    const watch = {
      kind,
      look: () => {
        if (list().length > 0) finish()
      },
      cut: () => {
        clearTimeout(timer)
        this.waiting.delete(watch)
        response.socket?.destroy()
      },
    }
    response.on('close', () => {
      clearTimeout(timer)
      this.waiting.delete(watch)
    })
    this.waiting.add(watch)
    watch.look()
  }

  async answerWrite ({ kind, name, url, request }, response) {
    const body = await readJson(request)
    const target = name ?? body?.metadata?.name ?? ''
    const present = this.find(kind).get(target)
    const query = url.searchParams.get('revision')
    const expected = body?.metadata?.revision ?? (query === null ? undefined : Number(query))
    if (request.method === 'POST' ? present !== undefined : present === undefined) send(response, present ? 409 : 404, present)
    else if (present && expected !== undefined && expected !== present.metadata.revision) send(response, 409, present)
    else if (request.method === 'DELETE') {
      this.remove(kind, target)
      send(response, 200, present)
    } else send(response, 200, this.put(kind, target, body?.spec))
  }
}

async function readJson (request) {
  const chunks = []
  for await (const chunk of request) chunks.push(chunk)
  const text = Buffer.concat(chunks).toString('utf8')
  return text === '' ? undefined : JSON.parse(text)
}

function send (response, status, body) {
  const text = body === undefined ? '' : JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}
