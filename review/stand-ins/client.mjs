import { randomBytes } from 'node:crypto'
import http from 'node:http'
import { names } from './names.mjs'

/** Sends one request to an entry instance; resolves with what its client sees, also without an answer. */
export function sendRequest ({ address, host, path, method = 'POST', waitMs, headers = {}, body = '', agent = false }) {
  const id = randomBytes(8).toString('hex')
  const sentAt = performance.now()
  return new Promise((resolve) => {
    const finish = (seen) => {
      clearTimeout(timer)
      resolve({ id, sentAt, ms: performance.now() - sentAt, ...seen })
    }
    const own = { 'Host': host, [names.headers.requestId]: id, [names.headers.deadline]: String(waitMs), 'Content-Length': Buffer.byteLength(body), ...headers }
    const [ip, port] = address.split(':')
    const request = http.request({ host: ip, port, path, method, headers: own, agent }, (response) => {
      const chunks = []
      response.on('data', (chunk) => chunks.push(chunk))
      response.on('error', () => finish({ status: response.statusCode, isWhole: false }))
      response.on('end', () => finish({
        status: response.statusCode,
        isWhole: response.complete,
        stamp: response.headers[names.headers.stamp.toLowerCase()],
        body: Buffer.concat(chunks).toString('utf8'),
      }))
    })
    const timer = setTimeout(() => request.destroy(), waitMs + 500)
    request.on('error', (error) => finish({ status: 0, isWhole: false, error: error.message }))
    request.end(body)
  })
}
