import type http from 'node:http'
import type { PulleystackError } from '@pulleystack/core.errors'
import { Paths, VERSION_HEADER } from '@pulleystack/backend.http'
import type { Result } from 'neverthrow'
import { answerJson, listenLoopback, readWholeBody, type LoopbackServer } from './listenLoopback.js'
import type { MemoryObjectStore } from './MemoryObjectStore.js'

/** Serves an in-memory store over HTTP in the wire format of the object API. */
export function serveObjectStore (store: MemoryObjectStore, port = 0): Promise<LoopbackServer> {
  return listenLoopback((request, response) => void handleRequest(store, request, response), port)
}

async function handleRequest (store: MemoryObjectStore, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
  const url = new URL(request.url ?? '/', 'http://store')
  const prefix = url.searchParams.get('prefix') ?? ''
  if (url.pathname === Paths.WATCH) {
    await handleWatch(store, url, prefix, response)
    return
  }
  if (url.pathname === Paths.OBJECTS) {
    const listing = await store.listObjects(prefix)
    sendResult(response, listing, (value) => answerJson(response, 200, value))
    return
  }
  const key = decodeURIComponent(url.pathname.slice(Paths.OBJECTS.length + 1))
  if (request.method === 'GET') {
    const read = await store.readObject(key)
    sendResult(response, read, (object) => answerJson(response, object ? 200 : 404, object?.value ?? null, { [VERSION_HEADER]: object?.version ?? 0 }))
    return
  }
  await handleChange(store, key, request, response)
}

async function handleWatch (store: MemoryObjectStore, url: URL, prefix: string, response: http.ServerResponse): Promise<void> {
  const abort = new AbortController()
  response.on('close', () => abort.abort())
  const batch = await store.waitForChanges(prefix, Number(url.searchParams.get('after')), Number(url.searchParams.get('wait')), abort.signal)
  sendResult(response, batch, (value) => answerJson(response, 200, value))
}

async function handleChange (store: MemoryObjectStore, key: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
  const expected = Number(request.headers[VERSION_HEADER])
  const body = await readWholeBody(request)
  const changed = request.method === 'PUT'
    ? await store.writeObject(key, JSON.parse(body.toString()), expected)
    : await store.deleteObject(key, expected)
  sendResult(response, changed, (version) => answerJson(response, 200, {}, { [VERSION_HEADER]: version }))
}

function sendResult<T> (response: http.ServerResponse, result: Result<T, PulleystackError>, succeed: (value: T) => void): void {
  if (result.isOk()) {
    succeed(result.value)
    return
  }
  // Clients treat a broken connection as an unknown outcome.
  if (result.error.code === 'STORE_OUTCOME_UNKNOWN') response.destroy()
  else answerJson(response, result.error.resultCode.status, { message: result.error.message })
}
