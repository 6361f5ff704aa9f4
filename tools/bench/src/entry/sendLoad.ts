import http from 'node:http'

/** A bounded load of one kind of request. */
export interface LoadOptions {
  address: string
  method: string
  path: string
  headers: Record<string, string>
  body?: string
  /** Closed loop: so many at a time. */
  concurrency?: number
  /** Open loop: so many a second. */
  perSecond?: number
  durationMs: number
  /** Text that a whole answer contains. */
  expect: string
}

export interface LoadResult {
  requests: number
  failed: number
  latencies: number[]
  firstBytes: number[]
  seconds: number
}

/** Sends the load and measures each answer. */
export async function sendLoad (opts: LoadOptions): Promise<LoadResult> {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1_000, scheduling: 'lifo' })
  const result: LoadResult = { requests: 0, failed: 0, latencies: [], firstBytes: [], seconds: 0 }
  const started = performance.now()
  const end = started + opts.durationMs
  if (opts.perSecond === undefined) await runClosed(opts, agent, result, end)
  else await runOpen(opts, opts.perSecond, agent, result, end)
  result.seconds = (performance.now() - started) / 1000
  agent.destroy()
  return result
}

async function runClosed (opts: LoadOptions, agent: http.Agent, result: LoadResult, end: number): Promise<void> {
  const run = async (): Promise<void> => {
    while (performance.now() < end) await sendOne(opts, agent, result)
  }
  await Promise.all(Array.from({ length: opts.concurrency ?? 1 }, run))
}

async function runOpen (opts: LoadOptions, perSecond: number, agent: http.Agent, result: LoadResult, end: number): Promise<void> {
  const pending: Promise<void>[] = []
  const gapMs = 1000 / perSecond
  let next = performance.now()
  while (performance.now() < end) {
    while (next <= performance.now()) {
      pending.push(sendOne(opts, agent, result))
      next += gapMs
    }
    await new Promise((resolve) => setTimeout(resolve, Math.max(0, next - performance.now())))
  }
  await Promise.all(pending)
}

function sendOne (opts: LoadOptions, agent: http.Agent, result: LoadResult): Promise<void> {
  const started = performance.now()
  const [host, port] = opts.address.split(':') as [string, string]
  return new Promise((resolve) => {
    const finish = (whole: boolean): void => {
      result.requests++
      if (whole) result.latencies.push(performance.now() - started)
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
