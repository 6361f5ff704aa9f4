import http from 'node:http'
import { parseAddress } from '@pulleystack/core.addresses'

/** What came back for one request. */
export interface DemoAnswer {
  status: number
  headers: http.IncomingHttpHeaders
  body: string
  /** False when the connection broke before the answer's end. */
  isComplete: boolean
}

/** One call over HTTP, as a caller of the system makes it. */
export function sendCall (
  address: string,
  opts: { method: string, path: string, key: string, headers?: http.OutgoingHttpHeaders, body?: unknown },
): Promise<DemoAnswer> {
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

/** The text of a streamed answer, undefined when it has no proper end. */
export function readStreamText (body: string): string | undefined {
  if (!body.includes('data: [DONE]')) return undefined
  const events = body.split('\n\n').filter((event) => event.startsWith('data: {'))
  const chunks = events.map((event) => JSON.parse(event.slice('data: '.length)) as { choices: { delta?: { content?: string }, text?: string }[] })
  return chunks.map((chunk) => chunk.choices[0]?.delta?.content ?? chunk.choices[0]?.text ?? '').join('')
}
