import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import { EngineClient, type EngineInventory, type EngineOrder, type EngineReport, type GenerateEnd } from '@pulleystack/backend.interfaces'
import { EngineMemory } from '@pulleystack/emulator.stand-ins'
import { err, ok, type Result } from 'neverthrow'

/** In-memory engine client for placement tests: handles orders and inventories, generates nothing. */
export class MemoryEngines extends EngineClient {
  readonly memories = new Map<string, EngineMemory>()
  /** Addresses of unreachable engines. */
  readonly down = new Set<string>()

  constructor (private readonly opts: { clock: Clock }) {
    super()
  }

  addEngine (address: string, memoryBytes: number, checksFences: boolean): EngineMemory {
    const memory = new EngineMemory({ clock: this.opts.clock, memoryBytes, checksFences, unloadMs: 20, gate: undefined })
    this.memories.set(address, memory)
    return memory
  }

  get isOvercommitted (): boolean {
    return [...this.memories.values()].some((memory) => memory.overcommitted)
  }

  async sendOrder (address: string, order: EngineOrder): Promise<Result<void, PulleystackError>> {
    const memory = this.memories.get(address)
    if (!memory || this.down.has(address)) return err(createUnreachableError(Ran.NO))
    const outcome = memory.receiveOrder(order)
    if (outcome === 'accepted') return ok(undefined)
    return err(outcome === 'lost' ? createUnreachableError(Ran.UNKNOWN) : new PulleystackError('ORDER_REFUSED', 'The engine rejected the order', { ran: Ran.NO }))
  }

  async readInventory (address: string): Promise<Result<EngineInventory, PulleystackError>> {
    const memory = this.memories.get(address)
    if (!memory || this.down.has(address)) return err(createUnreachableError(Ran.NO))
    return ok({ life: '1', ageMs: 0, items: memory.listItems(), freeBytes: memory.freeBytes })
  }

  async generate (): Promise<GenerateEnd> {
    throw createUnreachableError(Ran.NO)
  }

  async resume (): Promise<GenerateEnd> {
    throw createUnreachableError(Ran.NO)
  }

  async cancel (): Promise<void> {}

  async readReport (): Promise<Result<EngineReport, PulleystackError>> {
    return err(createUnreachableError(Ran.NO))
  }
}

function createUnreachableError (ran: Ran): PulleystackError {
  return new PulleystackError('ATTEMPT_FAILED_UNKNOWN', 'The engine is unreachable', { ran })
}
