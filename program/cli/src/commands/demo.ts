import { runDemo } from '@pulleystack/program.demo'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'

export interface DemoOptions {
  once?: boolean
}

export const name = 'demo'
export const description = 'Run the whole system in this process on embedded stand-ins, with sample traffic'

export function help (command: Command): void {
  command.option('--once', 'Exit after the traffic, with code 1 if a request was lost or duplicated').example('pulleystack demo --once')
}

export async function handler (context: CommandContext, _: readonly string[], opts: DemoOptions): Promise<ExitCode | undefined> {
  const succeeded = await runDemo({ once: opts.once ?? false, write: context.write })
  if (succeeded === undefined) return undefined
  return succeeded ? ExitCodes.OK : ExitCodes.FAILED
}
