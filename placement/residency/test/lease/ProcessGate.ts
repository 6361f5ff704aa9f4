import { Clock, type CancelTimer } from '@pulleystack/core.clock'

/** What reaches a process from outside. Timers that are due run before what its sockets have received, as in Node's event loop. */
export const Events = { TIMER: 'timer', ARRIVAL: 'arrival' } as const
export type EventKind = typeof Events[keyof typeof Events]

/** Lets events into one simulated process; they wait while it is suspended, and are lost once it is dead. */
export class ProcessGate {
  isSuspended = false
  private hasEnded = false
  private readonly waiting: { kind: EventKind, task: () => void }[] = []

  constructor (private readonly world: Clock) {}

  get isDead (): boolean {
    return this.hasEnded
  }

  get isRunning (): boolean {
    return !this.hasEnded && !this.isSuspended
  }

  pass (kind: EventKind, task: () => void): void {
    if (this.hasEnded) return
    if (this.isSuspended) this.waiting.push({ kind, task })
    else task()
  }

  resume (): void {
    this.isSuspended = false
    const events = this.waiting.splice(0)
    const ordered = [...events.filter(({ kind }) => kind === Events.TIMER), ...events.filter(({ kind }) => kind === Events.ARRIVAL)]
    // Each one lets promises settle before the next.
    for (const { kind, task } of ordered) this.world.setTimer(0, () => this.pass(kind, task))
  }

  kill (): void {
    this.hasEnded = true
    this.waiting.length = 0
  }
}

/** The clock of one simulated process, whose speed may differ from the common one. Time passes while the process is suspended; its timers wait. */
export class ProcessClock extends Clock {
  constructor (private readonly world: Clock, private readonly gate: ProcessGate, private readonly speed = 1) {
    super()
  }

  readWallTime (): number {
    return this.world.readWallTime()
  }

  readTime (): number {
    return this.world.readTime() * this.speed
  }

  setTimer (ms: number, task: () => void): CancelTimer {
    let isCancelled = false
    const cancel = this.world.setTimer(ms / this.speed, () => this.gate.pass(Events.TIMER, () => {
      if (!isCancelled) task()
    }))
    return () => {
      isCancelled = true
      cancel()
    }
  }
}
