import { readEpoch, type StoredObject } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'
import { MemoryObjectStore } from '@pulleystack/emulator.stand-ins'
import { err, type Result } from 'neverthrow'
import { Events, type ProcessGate } from './ProcessGate.js'

const TRANSIT_MS = 3
const TIMEOUT_MS = 400

export interface ProcessStoreOptions {
  clock: Clock
  gate: ProcessGate
  shared: MemoryObjectStore
}

/** The path of one simulated process to the shared store. */
export class ProcessStore extends MemoryObjectStore {
  /** Milliseconds by which the next write takes effect late; its sender gets no answer in time. */
  nextWriteLateMs = 0
  /** Called with the newest epoch of each response. */
  onEpoch: (epoch: number) => void = () => undefined

  constructor (private readonly path: ProcessStoreOptions) {
    super({ clock: path.clock })
  }

  override readObject (key: string): Promise<Result<StoredObject | undefined, PulleystackError>> {
    return this.ask(() => this.path.shared.readObject(key), 0)
  }

  override writeObject (key: string, value: unknown, expectedVersion: number): Promise<Result<number, PulleystackError>> {
    const lateMs = this.nextWriteLateMs
    this.nextWriteLateMs = 0
    const sent = structuredClone(value)
    return this.ask(() => this.path.shared.writeObject(key, sent, expectedVersion), lateMs)
  }

  private ask<T> (operate: () => Promise<Result<T, PulleystackError>>, lateMs: number): Promise<Result<T, PulleystackError>> {
    const { clock, gate, shared } = this.path
    return new Promise((resolve) => {
      const cancel = clock.setTimer(TIMEOUT_MS, () => gate.pass(Events.TIMER, () => {
        resolve(err(new PulleystackError('STORE_OUTCOME_UNKNOWN', 'The store did not answer in time')))
      }))
      clock.setTimer(TRANSIT_MS + lateMs, () => void operate().then((result) => clock.setTimer(TRANSIT_MS, () => gate.pass(Events.ARRIVAL, () => {
        cancel()
        this.onEpoch(readEpoch(shared.currentVersion))
        resolve(result)
      }))))
    })
  }
}
