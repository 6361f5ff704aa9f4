import type { ObjectStore, StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { keepRunning } from '@pulleystack/core.tasks'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import { err, type Result } from 'neverthrow'
import { RETENTION_MS } from './retention.js'
import { packOrigins, unpackOrigins, type UnpackedOrigins } from './packOrigins.js'

export const ORIGINS_PREFIX = 'stream-origins/'
/** Streams in the object of an instance; without the oldest beyond it. */
const MAX_STREAMS = 4_000
/** Shortest time between two writes of an instance. */
const MIN_WRITE_INTERVAL_MS = 100
/** Time after which a read tells whether the store is slow or has lost the answer to a write. */
const ANSWER_WAIT_MS = 250
/** Limits the calls of all instances together to 100 a second. */
const INTERVAL_PER_INSTANCE_MS = 10
/** Shortest time between two lists of the archive, which also limits those of all instances together. */
const MIN_LIST_INTERVAL_MS = 100
/** Pause after a list as a multiple of its duration, as the objects may be huge, and its longest time. */
const LIST_PAUSE_SHARE = 10
const MAX_LIST_PAUSE_MS = 1_000

export interface OriginArchiveOptions {
  clock: Clock
  store: ObjectStore
  log: DecisionLog
  instance: string
  listServing: () => readonly string[]
  /** Whether streams that could have gone to one of these services need a record that outlives all instances. */
  isMixed: (services: readonly string[]) => boolean
}

/** What the archive has of a stream. */
export interface ArchivedStream {
  /** Undefined without a record. */
  origin: StreamOrigin | undefined
}

/** A stream that may be taken up again. */
interface LiveStream {
  origin: StreamOrigin
  /** Services that it could have gone to; undefined for those of an earlier process, which were archived as they were mixed. */
  services: readonly string[] | undefined
  /** Requests that run for it here; several if its client takes it up before the end of the former one is noticed. */
  requests: number
  /** Monotonic time in milliseconds at which it broke off; undefined while it runs. */
  brokeOffAt?: number
}

/**
 * The origins of the streams that run or broke off at this instance, kept in one object of the store while services are mixed, so that streams go on after all
 * instances ended at once. An instance that starts again takes over what its last process left.
 */
export class OriginArchive {
  private readonly streams = new Map<string, LiveStream>()
  /** Streams in the objects of all instances, as last listed. */
  private listed: ReadonlyMap<string, StreamOrigin> = new Map()
  private nextListAt = -Infinity
  private listing: Promise<boolean> | undefined
  private hasUnwritten = false
  private wakeWriter: () => void = () => undefined
  /** Version of the own object in the store; undefined until it was read, or when it may have changed. */
  private objectVersion: number | undefined
  private hasTakenOver = false
  private isFailureLogged = false

  constructor (private readonly opts: OriginArchiveOptions) {}

  /** Writes what has changed until the signal aborts. */
  start (signal: AbortSignal): void {
    signal.addEventListener('abort', () => this.wakeWriter(), { once: true })
    keepRunning({ task: 'archive of stream origins', clock: this.opts.clock, signal, run: () => this.keepWriting(signal) })
  }

  /** Records where a stream runs; must be called once for each request that runs for it. */
  put (id: string, origin: StreamOrigin, services: readonly string[]): void {
    const others = this.streams.get(id)?.requests ?? 0
    this.streams.delete(id)
    this.streams.set(id, { origin, services, requests: others + 1 })
    if (this.streams.size > MAX_STREAMS) this.dropOldest()
    if (this.opts.isMixed(services)) this.requestWrite()
  }

  /** Records that a request of a stream ended for which `put` was called; after the last one the stream is forgotten unless it broke off. */
  recordEnd (id: string, { mayBeResumed }: { mayBeResumed: boolean }): void {
    const stream = this.streams.get(id)
    if (!stream) return
    stream.requests--
    if (stream.requests > 0) return
    if (mayBeResumed) stream.brokeOffAt = this.opts.clock.readTime()
    else this.streams.delete(id)
  }

  /** Writes the streams that began before their services became mixed. */
  handleMixed (): void {
    if (this.streams.size > 0) this.requestWrite()
  }

  /** Whether this instance has written its object. */
  get hasObject (): boolean {
    return this.objectVersion !== undefined && this.objectVersion > 0
  }

  /** Finds a stream of any instance; undefined if the store can't be read. Streams asked for soon after a list share the next one. */
  async find (id: string): Promise<ArchivedStream | undefined> {
    const known = this.listed.get(id)
    if (known) return { origin: known }
    this.listing ??= this.listWhenDue().finally(() => {
      this.listing = undefined
    })
    return await this.listing ? { origin: this.listed.get(id) } : undefined
  }

  private async listWhenDue (): Promise<boolean> {
    const waitMs = this.nextListAt - this.opts.clock.readTime()
    if (waitMs > 0) await this.opts.clock.wait(waitMs)
    return this.list()
  }

  /** Lists the objects of all instances; returns whether that succeeded. */
  private async list (): Promise<boolean> {
    const { clock, store } = this.opts
    const startedAt = clock.readTime()
    const listing = await store.listObjects(ORIGINS_PREFIX)
    if (listing.isOk()) this.listed = new Map(listing.value.objects.flatMap((object) => this.unpackListed(object)))
    else this.reportFailure(listing.error.code)
    const endedAt = clock.readTime()
    // A store that doesn't answer is asked again soon.
    const pauseMs = listing.isOk() ? Math.min(MAX_LIST_PAUSE_MS, LIST_PAUSE_SHARE * (endedAt - startedAt)) : 0
    this.nextListAt = endedAt + Math.max(this.computeInterval(MIN_LIST_INTERVAL_MS), pauseMs)
    return listing.isOk()
  }

  /** Shortest time between two calls of this instance. */
  private computeInterval (minMs: number): number {
    return Math.max(minMs, INTERVAL_PER_INSTANCE_MS * (this.opts.listServing().length + 1))
  }

  private requestWrite (): void {
    this.hasUnwritten = true
    this.wakeWriter()
  }

  private async keepWriting (signal: AbortSignal): Promise<void> {
    const { clock } = this.opts
    while (!signal.aborted) {
      await this.waitForChange(signal)
      if (signal.aborted) return
      this.hasUnwritten = false
      if (!await this.write()) this.hasUnwritten = true
      await clock.wait(this.computeInterval(MIN_WRITE_INTERVAL_MS), signal)
    }
  }

  private waitForChange (signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      this.wakeWriter = resolve
      if (this.hasUnwritten || signal.aborted) resolve()
    })
  }

  /** Writes the own object; returns whether that succeeded. */
  private async write (): Promise<boolean> {
    const key = ORIGINS_PREFIX + this.opts.instance
    const version = this.objectVersion ?? await this.readOwn(key)
    if (version === undefined) return false
    this.dropExpired()
    const stored = [...this.streams].filter(([, { services }]) => services === undefined || this.opts.isMixed(services))
    const value = packOrigins(stored.map(([id, { origin }]) => [id, origin]))
    const written = await this.waitForAnswer(key, this.opts.store.writeObject(key, value, version))
    this.objectVersion = written.unwrapOr(undefined)
    if (written.isErr()) this.reportFailure(written.error.code)
    else this.isFailureLogged = false
    return written.isOk()
  }

  /** Reads the version of the own object, and takes over its streams; undefined if that failed. */
  private async readOwn (key: string): Promise<number | undefined> {
    const current = await this.opts.store.readObject(key)
    if (current.isErr()) {
      this.reportFailure(current.error.code)
      return undefined
    }
    if (current.value && !this.hasTakenOver) this.takeOver(this.unpack(current.value).streams)
    this.hasTakenOver = true
    return current.value?.version ?? 0
  }

  /**
   * Resolves to the answer to a write unless a later read is answered first, so that a lost answer doesn't hold up the streams that begin meanwhile. A write
   * without one may still take effect. Errors: those of the write; STORE_OUTCOME_UNKNOWN.
   */
  private async waitForAnswer (key: string, writing: Promise<Result<number, PulleystackError>>): Promise<Result<number, PulleystackError>> {
    const answered = new AbortController()
    const answer = await Promise.race([writing, this.waitForRead(key, answered.signal)])
    answered.abort()
    return answer
  }

  private async waitForRead (key: string, answered: AbortSignal): Promise<Result<never, PulleystackError>> {
    const { clock, store } = this.opts
    await clock.wait(ANSWER_WAIT_MS, answered)
    if (!answered.aborted) await store.readObject(key)
    return err(new PulleystackError('STORE_OUTCOME_UNKNOWN', `A write of ${key} has no answer`))
  }

  /** Takes over what the last process of this instance left. */
  private takeOver (left: readonly [id: string, origin: StreamOrigin][]): void {
    const own = [...this.streams]
    const brokeOffAt = this.opts.clock.readTime()
    this.streams.clear()
    for (const [id, origin] of left) this.streams.set(id, { origin, services: undefined, requests: 0, brokeOffAt })
    // Own streams come last, as the oldest ones are dropped first.
    for (const [id, stream] of own) {
      this.streams.delete(id)
      this.streams.set(id, stream)
    }
    while (this.streams.size > MAX_STREAMS) this.dropOldest()
  }

  private unpackListed (object: StoredObject): [id: string, origin: StreamOrigin][] {
    const { streams, isValid } = this.unpack(object)
    // What can't be read would be listed again for each lookup.
    if (!isValid && object.key === ORIGINS_PREFIX + this.opts.instance) this.requestWrite()
    return streams
  }

  private unpack ({ key, value }: StoredObject): UnpackedOrigins {
    const unpacked = unpackOrigins(value, MAX_STREAMS)
    if (!unpacked.isValid) this.opts.log.record(DecisionKinds.STORED_RECORD_INVALID, { key })
    return unpacked
  }

  private dropOldest (): void {
    const oldest = this.streams.keys().next()
    if (!oldest.done) this.streams.delete(oldest.value)
  }

  private dropExpired (): void {
    const oldestBreak = this.opts.clock.readTime() - RETENTION_MS
    for (const [id, { brokeOffAt = Infinity }] of this.streams) {
      if (brokeOffAt < oldestBreak) this.streams.delete(id)
    }
  }

  /** Logs the first of several failures in a row. */
  private reportFailure (code: string): void {
    if (!this.isFailureLogged) this.opts.log.record(DecisionKinds.ORIGINS_UNSTORED, { code })
    this.isFailureLogged = true
  }
}
