import { fork, type ChildProcess } from 'node:child_process'

/** A child process that runs tasks for the benchmark's main process. */
export class BenchmarkWorker {
  private readonly child: ChildProcess
  private nextId = 1
  private readonly pending = new Map<number, (answer: unknown) => void>()

  constructor (modulePath: string) {
    this.child = fork(modulePath, [], { execArgv: [], stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
    // A crashed worker ends the benchmark: its pending requests would never settle.
    this.child.on('exit', (code) => {
      if (code !== null && code !== 0) process.exit(1)
    })
    this.child.on('message', (message) => {
      const { id, answer } = message as { id: number, answer: unknown }
      this.pending.get(id)?.(answer)
      this.pending.delete(id)
    })
  }

  request<T> (task: string, args: unknown = {}): Promise<T> {
    const id = this.nextId++
    return new Promise((resolve) => {
      this.pending.set(id, resolve as (answer: unknown) => void)
      this.child.send({ id, task, args })
    })
  }

  stop (): void {
    this.child.kill('SIGKILL')
  }
}

/** Runs requested tasks in the child process and sends their results back. */
export function handleTasks (tasks: Readonly<Record<string, (args: never) => unknown>>): void {
  process.on('message', (message) => {
    const { id, task, args } = message as { id: number, task: string, args: never }
    void Promise.resolve(tasks[task]?.(args)).then((answer) => process.send?.({ id, answer: answer ?? null }))
  })
  process.on('disconnect', () => process.exit(0))
}

/** CPU time used by this process, in microseconds. */
export function readCpuMicros (): number {
  const { user, system } = process.cpuUsage()
  return user + system
}
