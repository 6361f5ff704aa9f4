import { readNumber, readText, type LogLine } from '@pulleystack/timeline.story'

/** The last attempt of a request. */
export interface SentAttempt {
  /** Milliseconds on the clock of the log. */
  at: number
  backend: string
  model: string | undefined
  running: number | undefined
  prefillTokens: number | undefined
}

/** A wait for a slot; `at` in milliseconds on the clock of the log. */
export interface BegunWait {
  reason: string
  at: number
}

/** What the log has shown so far of a request that has not ended. */
export interface OpenRequest {
  wait: BegunWait | undefined
  sent: SentAttempt | undefined
  isResumed: boolean
  /** Another instance served the request and logged its end as well. */
  isRelayed: boolean
}

/** Follows requests from their first line to their end. The same id on two instances is two requests, since clients may retry with the same id. */
export class RequestTracker {
  private readonly requests = new Map<string, OpenRequest>()

  list (): OpenRequest[] {
    return [...this.requests.values()]
  }

  /** A request that already waits keeps the reason and start of its wait: it had a slot that was given back unused. */
  recordWaiting (line: LogLine): void {
    const request = this.ensure(line)
    if (request) request.wait ??= { reason: readText(line, 'reason') ?? '', at: line.at }
  }

  /** Returns the wait that the sending ended, if any. */
  recordSent (line: LogLine): BegunWait | undefined {
    const request = this.ensure(line)
    if (!request) return undefined
    const { wait } = request
    request.wait = undefined
    request.sent = {
      at: line.at,
      backend: readText(line, 'backend') ?? '',
      model: readText(line, 'model'),
      running: readNumber(line, 'running'),
      prefillTokens: readNumber(line, 'prefillTokens'),
    }
    return wait
  }

  recordResumed (line: LogLine): void {
    const request = this.ensure(line)
    if (request) request.isResumed = true
  }

  recordRelayed (line: LogLine): void {
    const request = this.ensure(line)
    if (request) request.isRelayed = true
  }

  /** Removes the request and returns what was known of it. */
  end (line: LogLine): OpenRequest | undefined {
    const key = buildKey(line)
    if (key === undefined) return undefined
    const request = this.requests.get(key)
    this.requests.delete(key)
    return request
  }

  private ensure (line: LogLine): OpenRequest | undefined {
    const key = buildKey(line)
    if (key === undefined) return undefined
    const request = this.requests.get(key) ?? { wait: undefined, sent: undefined, isResumed: false, isRelayed: false }
    this.requests.set(key, request)
    return request
  }
}

function buildKey (line: LogLine): string | undefined {
  const request = readText(line, 'request')
  return request === undefined ? undefined : `${line.instance} ${request}`
}
