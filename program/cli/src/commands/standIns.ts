import { startStandIns } from '@pulleystack/program.demo'
import type { Command } from 'cac'
import type { CommandContext, ExitCode } from '../Command.js'

export const name = 'stand-ins'
export const description = 'Run only the embedded platform and backend servers, for testing with separate instance processes'

export function help (command: Command): void {
  command.example('pulleystack stand-ins')
}

export async function handler (context: CommandContext): Promise<ExitCode | undefined> {
  const standIns = await startStandIns()
  context.write(JSON.stringify({ objectApi: standIns.objectApi, instanceList: standIns.instanceList, weightStore: standIns.weightStore }))
  return undefined
}
