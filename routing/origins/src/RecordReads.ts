import type { Clock } from '@pulleystack/core.clock'

/** Shortest time between the beginnings of two reads. */
const MIN_INTERVAL_MS = 100
const MAX_WAIT_MS = 200

export interface RecordReadsOptions {
  clock: Clock
  /** Reads the record of a service; resolves to whether that succeeded. */
  read: (service: string) => Promise<boolean>
}

/** Bounds how often records are read from the store: requests share the next read, which begins after them and after the end of the one before. */
export class RecordReads {
  private readonly requested = new Set<string>()
  private nextRead: Promise<ReadonlySet<string>> | undefined
  private currentRead: Promise<unknown> = Promise.resolve()
  private nextReadAt = -Infinity

  constructor (private readonly opts: RecordReadsOptions) {}

  /** Resolves to whether the records of the services were read in time. */
  async request (services: readonly string[]): Promise<boolean> {
    for (const service of services) this.requested.add(service)
    this.nextRead ??= this.readNext()
    const timeout = new AbortController()
    const waited = this.opts.clock.wait(MAX_WAIT_MS, timeout.signal).then(() => undefined)
    const failed = await Promise.race([this.nextRead, waited])
    timeout.abort()
    return failed !== undefined && !services.some((service) => failed.has(service))
  }

  /** Returns the services whose records could not be read. */
  private async readNext (): Promise<ReadonlySet<string>> {
    const { clock } = this.opts
    await this.currentRead
    const pauseMs = this.nextReadAt - clock.readTime()
    if (pauseMs > 0) await clock.wait(pauseMs)
    const services = [...this.requested]
    this.requested.clear()
    this.nextRead = undefined
    this.nextReadAt = clock.readTime() + MIN_INTERVAL_MS
    const read = this.readAll(services)
    this.currentRead = read
    return read
  }

  private async readAll (services: readonly string[]): Promise<ReadonlySet<string>> {
    const outcomes = await Promise.all(services.map((service) => this.opts.read(service)))
    return new Set(services.filter((_, at) => !outcomes[at]))
  }
}
