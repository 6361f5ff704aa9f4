import type { WeightsState } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { nameWeights } from '@pulleystack/routing.fleet'

/** Longer than it takes until an order without an answer is carried out or lost, 12 s at most. */
const MAX_ORDER_AGE_MS = 15_000

/** A load order without an answer. */
export interface UnansweredLoad {
  model: string
  /** Undefined for the load of a model. */
  adapter: string | undefined
  /** The server carries it out only at this sequence number. */
  sequence: number
}

/** The load orders to one server that got no answer, as passed to a successor. */
export interface UnansweredReport {
  server: string
  /** Newest sequence number of the server, as far as it is known. */
  serverSequence?: number
  loads: (UnansweredLoad & {
    /** Milliseconds until it is carried out or lost, at most. */
    leftMs: number
  })[]
}

interface RememberedLoad extends UnansweredLoad {
  /** Monotonic time in milliseconds. */
  until: number
}

/**
 * Load orders that got no answer and that their servers may still carry out. A server that restarts under its id counts its orders from zero, so that an order
 * of its former run may be carried out when its sequence number comes up again; the record of a server outlasts its entry.
 */
export class UnansweredLoads {
  private readonly byServer = new Map<string, RememberedLoad[]>()
  /** Newest sequence number of each server, as far as it is known. */
  private readonly sequences = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

  add (server: string, load: UnansweredLoad): void {
    this.put(server, load, MAX_ORDER_AGE_MS)
  }

  /** Lists what a successor has to count as well. */
  buildReports (): UnansweredReport[] {
    this.removeExpired()
    const now = this.clock.readTime()
    return [...this.byServer].map(([server, loads]) => {
      const serverSequence = this.sequences.get(server)
      const left = loads.filter(({ until }) => until > now).map(({ until, ...load }) => ({ ...load, leftMs: until - now }))
      return { server, loads: left, ...serverSequence === undefined ? {} : { serverSequence } }
    })
  }

  /** Adds the orders of another holder. */
  addReports (reports: readonly UnansweredReport[]): void {
    for (const { server, serverSequence, loads } of reports) {
      for (const { leftMs, ...load } of loads) this.put(server, load, Math.min(leftMs, MAX_ORDER_AGE_MS))
      if (serverSequence !== undefined) this.recordSequence(server, serverSequence)
    }
  }

  /** Records the sequence number in a server's report. */
  recordSequence (server: string, sequence: number): void {
    if (this.byServer.has(server)) this.sequences.set(server, sequence)
  }

  /** Handles the removal of a server's entry, after which it may restart. */
  forgetSequence (server: string): void {
    this.sequences.delete(server)
  }

  /** Orders that the server may carry out at its sequence number or a later one; without a known sequence number, all. */
  list (server: string, sequence = this.sequences.get(server) ?? 0): UnansweredLoad[] {
    const now = this.clock.readTime()
    return (this.byServer.get(server) ?? []).filter((it) => it.until > now && it.sequence >= sequence)
  }

  /** Adds what a server may still load to its state, except for the weights with the given name. */
  addTo (server: string, state: WeightsState, except: string): WeightsState {
    const loads = this.list(server, state.sequence).filter(({ model, adapter }) => nameWeights(model, adapter) !== except)
    const models = [...state.models]
    const loadingAdapters = [...state.loadingAdapters]
    for (const { model, adapter } of loads) {
      const resident = state.models.find(({ name }) => name === model)
      if (adapter === undefined && !resident) models.push({ name: model, adapters: [] })
      if (adapter !== undefined && !resident?.adapters.includes(adapter)) loadingAdapters.push(nameWeights(model, adapter))
    }
    return { ...state, models, loadingAdapters: [...new Set(loadingAdapters)] }
  }

  private put (server: string, { model, adapter, sequence }: UnansweredLoad, leftMs: number): void {
    this.removeExpired()
    const others = (this.byServer.get(server) ?? []).filter((it) => it.model !== model || it.adapter !== adapter || it.sequence !== sequence)
    this.byServer.set(server, [...others, { model, adapter, sequence, until: this.clock.readTime() + leftMs }])
  }

  private removeExpired (): void {
    const now = this.clock.readTime()
    for (const [server, loads] of this.byServer) {
      if (loads.some(({ until }) => until > now)) continue
      this.byServer.delete(server)
      this.sequences.delete(server)
    }
  }
}
