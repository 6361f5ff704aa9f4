import http from 'node:http'

/** A load of one kind of request for a fixed duration. */
export interface LoadOptions {
  address: string
  method: string
  path: string
  headers: Record<string, string>
  body?: string
  /** Closed loop: number of concurrent requests; used unless `perSecond` is set. */
  concurrency?: number
  /** Open loop: requests per second, sent without waiting for responses. */
  perSecond?: number
  durationMs: number
  /** Text that a complete response contains. */
  expect: string
}

export interface LoadResult {
  requests: number
  failed: number
  latencies: number[]
  firstBytes: number[]
  seconds: number
}

/** Sends the load and measures the latency of each response, in milliseconds. */
export async function sendLoad (opts: LoadOptions): Promise<LoadResult> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1_000, scheduling: 'lifo' })
  const result: LoadResult = { requests: 0, failed: 0, latencies: [], firstBytes: [], seconds: 0 }
  const started = performance.now()
  const endAt = started + opts.durationMs
  if (opts.perSecond === undefined) await runClosedLoop(opts, agent, result, endAt)
  else await runOpenLoop(opts, opts.perSecond, agent, result, endAt)
  result.seconds = (performance.now() - started) / 1000
  agent.destroy()
  return result
}

async function runClosedLoop (opts: LoadOptions, agent: http.Agent, result: LoadResult, endAt: number): Promise<void> {
  const sendUntilEnd = async (): Promise<void> => {
    while (performance.now() < endAt) await sendOne(opts, agent, result)
  }
  await Promise.all(Array.from({ length: opts.concurrency ?? 1 }, sendUntilEnd))
}

async function runOpenLoop (opts: LoadOptions, perSecond: number, agent: http.Agent, result: LoadResult, endAt: number): Promise<void> {
  const pending: Promise<void>[] = []
  const intervalMs = 1000 / perSecond
  let nextAt = performance.now()
  while (performance.now() < endAt) {
    while (nextAt <= performance.now()) {
      pending.push(sendOne(opts, agent, result))
      nextAt += intervalMs
    }
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, nextAt - performance.now())))
  }
  await Promise.all(pending)
}

function sendOne (opts: LoadOptions, agent: http.Agent, result: LoadResult): Promise<void> {
  const started = performance.now()
  const [host, port] = opts.address.split(':') as [string, string]
  return new Promise((resolve) => {
    const finish = (isComplete: boolean): void => {
      result.requests++
      if (isComplete) result.latencies.push(performance.now() - started)
      else result.failed++
      resolve()
    }
    const request = http.request({ host, port: Number(port), method: opts.method, path: opts.path, headers: opts.headers, agent }, (response) => {
      let body = ''
      response.once('data', () => result.firstBytes.push(performance.now() - started))
      response.on('data', (chunk: Buffer) => {
        body += chunk.toString('latin1')
      })
      response.on('end', () => finish(response.statusCode === 200 && body.includes(opts.expect)))
      response.on('error', () => finish(false))
    })
    request.on('error', () => finish(false))
    request.end(opts.body)
  })
}
