import { fork, type ChildProcess } from 'node:child_process'
import path from 'node:path'
import { build } from 'esbuild'

const BUNDLES = path.join(import.meta.dirname, '../../../dist/bench')
// Optional native helpers of our libraries; the binary does without them as well.
const LEFT_OUT = ['dtrace-provider', 'bufferutil', 'utf-8-validate', 'msgpackr-extract']

/** Bundles a worker's module like the binary, so that what is measured is what ships. */
export async function buildWorker (module: string): Promise<string> {
  const outfile = path.join(BUNDLES, `${path.basename(path.dirname(module))}-${path.basename(module, '.ts')}.cjs`)
  await build({
    entryPoints: [module],
    outfile,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'cjs',
    mainFields: ['module', 'main'],
    external: LEFT_OUT,
    define: { 'import.meta.dirname': JSON.stringify(path.dirname(module)) },
    logLevel: 'warning',
  })
  return outfile
}

/** A process of a benchmark that answers requests of the main one. */
export class Worker {
  private readonly child: ChildProcess
  private nextId = 1
  private readonly waiting = new Map<number, (answer: unknown) => void>()

  constructor (module: string) {
    this.child = fork(module, [], { execArgv: [], stdio: ['ignore', 'inherit', 'inherit', 'ipc'] })
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
