import { fork, type ChildProcess } from 'node:child_process'

/** A process of a benchmark that answers requests of the main one. */
export class Worker {
  private readonly child: ChildProcess
  private nextId = 1
  private readonly waiting = new Map<number, (answer: unknown) => void>()

  constructor (module: string) {
    this.child = fork(module, [], { execArgv: [], stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    // A worker that dies ends the benchmark; waiting for its answers would take for ever.
    this.child.on('exit', (code) => {
      if (code !== null && code !== 0) process.exit(1)
    })
    this.child.on('message', (message) => {
      const { id, answer } = message as { id: number, answer: unknown }
      this.waiting.get(id)?.(answer)
      this.waiting.delete(id)
    })
  }

  ask<T> (task: string, args: unknown = {}): Promise<T> {
    const id = this.nextId++
    return new Promise((resolve) => {
      this.waiting.set(id, resolve as (answer: unknown) => void)
      this.child.send({ id, task, args })
    })
  }

  stop (): void {
    this.child.kill('SIGKILL')
  }
}

/** The other side: answers tasks by name. */
export function answerTasks (tasks: Readonly<Record<string, (args: never) => unknown>>): void {
  process.on('message', (message) => {
    const { id, task, args } = message as { id: number, task: string, args: never }
    void Promise.resolve(tasks[task]?.(args)).then((answer) => process.send?.({ id, answer: answer ?? null }))
  })
  process.on('disconnect', () => process.exit(0))
}

/** Microseconds of processor time that this process has used. */
export function readCpu (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}
