import { FakeHub, type FakeNetwork } from '@pulleystack/membership.fake-network'
import { Events, type ProcessGate } from './ProcessGate.js'

const TRANSIT_MS = 2

/** Messages between simulated processes, which may be lost in one direction or come late without their sender noticing. */
export class ProcessHub extends FakeHub {
  readonly gates = new Map<string, ProcessGate>()
  /** Additional milliseconds that messages of an instance take. */
  readonly lateMs = new Map<string, number>()
  private readonly silenced = new Set<string>()

  silence (from: string, to: string): void {
    this.silenced.add(`${from}|${to}`)
  }

  isSilenced (from: string, to: string): boolean {
    return this.silenced.has(`${from}|${to}`)
  }

  healAll (): void {
    this.silenced.clear()
    this.lateMs.clear()
  }

  override sendMessage (from: string, to: string, _body: unknown, deliver: (node: FakeNetwork) => void): void {
    if (this.gates.get(from)?.isDead) return
    this.opts.clock.setTimer(TRANSIT_MS + (this.lateMs.get(from) ?? 0), () => {
      if (this.isSilenced(from, to)) return
      this.gates.get(to)?.pass(Events.ARRIVAL, () => {
        const node = this.findNode(to)
        if (node) deliver(node)
      })
    })
  }
}
