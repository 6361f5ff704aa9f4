import http from 'node:http'
import { parseAddress } from '@pulleystack/core.addresses'

/** Response to one request. */
export interface DemoResponse {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
  /** False if the connection broke before the end of the response. */
  isComplete: boolean
}

/** Sends one HTTP request with the caller's key; rejects if no response arrives. */
export function sendRequest (
  address: string,
  opts: { method: string, path: string, key: string, headers?: http.OutgoingHttpHeaders, body?: unknown },
): Promise<DemoResponse> {
  const requestBody = opts.body === undefined ? undefined : JSON.stringify(opts.body)
  const headers: http.OutgoingHttpHeaders = { authorization: `Bearer ${opts.key}`, ...opts.headers }
  if (requestBody !== undefined) Object.assign(headers, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(requestBody) })
  return new Promise((resolve, reject) => {
    const request = http.request({ ...parseAddress(address), method: opts.method, path: opts.path, headers })
    request.on('error', reject)
    request.on('response', (response) => {
      let body = ''
      response.setEncoding('utf8')
      response.on('data', (chunk: string) => {
        body += chunk
      })
      const finish = (isComplete: boolean) => resolve({ status: response.statusCode ?? 0, headers: response.headers, body, isComplete })
      response.on('end', () => finish(response.complete))
      response.on('error', () => finish(false))
    })
    request.end(requestBody)
  })
}

/** Reads the text of a streamed completion; undefined if the stream was truncated. */
export function readStreamText (body: string): string | undefined {
  if (!body.includes('data: [DONE]')) return undefined
  const events = body.split('\n\n').filter((event) => event.startsWith('data: {'))
  const chunks = events.map((event) => JSON.parse(event.slice('data: '.length)) as { choices: { delta?: { content?: string }, text?: string }[] })
  return chunks.map((chunk) => chunk.choices[0]?.delta?.content ?? chunk.choices[0]?.text ?? '').join('')
}
