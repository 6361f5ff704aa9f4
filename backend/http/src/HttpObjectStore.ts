import http from 'node:http'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import { ObjectStore, type ChangeBatch, type StoredObject, type StoreListing } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { exchange, parseJson, type ExchangeAnswer } from './exchange.js'
import { Paths, VERSION_HEADER, type ListAnswer, type WatchAnswer } from './wire.js'

const TIMEOUT_MS = 3_000
const WATCH_MARGIN_MS = 3_000
const MAX_VALUE_BYTES = 1 << 20

/** Client for the platform's object API over HTTP. */
export class HttpObjectStore extends ObjectStore {
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 64 })

  constructor (private readonly opts: { address: string, timeoutMs?: number }) {
    super()
  }

  /** Closes idle connections. */
  close (): void {
    this.agent.destroy()
  }

  async readObject (key: string): Promise<Result<StoredObject | undefined, PulleystackError>> {
    return this.read(`${Paths.OBJECTS}/${encodeURIComponent(key)}`, (answer) => {
      if (answer.status === 404) return ok(undefined)
      return ok({ key, version: Number(answer.headers[VERSION_HEADER]), value: parseJson<unknown>(answer.body) })
    })
  }

  async listObjects (prefix: string): Promise<Result<StoreListing, PulleystackError>> {
    return this.read(`${Paths.OBJECTS}?prefix=${encodeURIComponent(prefix)}`, (answer) => ok(parseJson<ListAnswer>(answer.body)))
  }

  async writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    const body = JSON.stringify(value)
    if (Buffer.byteLength(body) > MAX_VALUE_BYTES) return err(new PulleystackError('VALUE_TOO_LARGE', `${key} exceeds the limit of ${MAX_VALUE_BYTES} bytes`))
    return this.changeObject('PUT', key, expectedVersion, body)
  }

  async deleteObject (key: string, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    return this.changeObject('DELETE', key, expectedVersion)
  }

  async waitForChanges (prefix: string, afterVersion: number, waitMs: number, signal?: AbortSignal): Promise<Result<ChangeBatch, PulleystackError>> {
    const path = `${Paths.WATCH}?prefix=${encodeURIComponent(prefix)}&after=${afterVersion}&wait=${waitMs}`
    return this.read(path, (answer) => {
      if (answer.status === 410) return err(new PulleystackError('STORE_COMPACTED', `Changes after version ${afterVersion} are no longer available`))
      return ok(parseJson<WatchAnswer>(answer.body))
    }, waitMs + WATCH_MARGIN_MS, signal)
  }

  private async read<T> (
    path: string,
    convert: (answer: ExchangeAnswer) => Result<T, PulleystackError>,
    timeoutMs = this.opts.timeoutMs ?? TIMEOUT_MS,
    signal?: AbortSignal,
  ): Promise<Result<T, PulleystackError>> {
    try {
      const answer = await exchange({ address: this.opts.address, method: 'GET', path, agent: this.agent, timeoutMs, signal })
      if (answer.status >= 500) return err(createUnavailableError(answer.status))
      return convert(answer)
    } catch (thrown) {
      return err(new PulleystackError('STORE_UNAVAILABLE', convertToError(thrown).message, { cause: thrown }))
    }
  }

  private async changeObject (method: string, key: string, expectedVersion: number, body?: string): Promise<Result<number, PulleystackError>> {
    const headers = { [VERSION_HEADER]: String(expectedVersion), 'content-type': 'application/json' }
    const path = `${Paths.OBJECTS}/${encodeURIComponent(key)}`
    try {
      const timeoutMs = this.opts.timeoutMs ?? TIMEOUT_MS
      const answer = await exchange({ address: this.opts.address, method, path, headers, body, agent: this.agent, timeoutMs })
      return parseChangeAnswer(key, answer)
    } catch (thrown) {
      return err(createChangeError(key, convertToError(thrown)))
    }
  }
}

function parseChangeAnswer (key: string, answer: ExchangeAnswer): Result<number, PulleystackError> {
  if (answer.status === 200) return ok(Number(answer.headers[VERSION_HEADER]))
  if (answer.status === 409) return err(new PulleystackError('STORE_CONFLICT', `${key} has version ${answer.headers[VERSION_HEADER]}`))
  if (answer.status === 503) return err(createUnavailableError(answer.status))
  if (answer.status === 413) return err(new PulleystackError('VALUE_TOO_LARGE', `${key} is too large for the object API`))
  return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', `The object API responded to a write of ${key} with status ${answer.status}`))
}

function createUnavailableError (status: number): PulleystackError {
  return new PulleystackError('STORE_UNAVAILABLE', `The object API responded with status ${status}`, { retryAfterSeconds: 1 })
}

function createChangeError (key: string, error: PulleystackError): PulleystackError {
  if (error.ran === Ran.NO) return new PulleystackError('STORE_UNAVAILABLE', error.message, { cause: error, retryAfterSeconds: 1 })
  return new PulleystackError('STORE_OUTCOME_UNKNOWN', `It is unknown whether the write of ${key} took effect: ${error.message}`, { cause: error })
}
