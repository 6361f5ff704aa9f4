import { hashAccessKey } from '@pulleystack/core.hashing'
import { createAccessKey } from '@pulleystack/membership.keys'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'

export const name = 'create-key'
export const description = 'Create an access key and the hash to store for it'

export function help (command: Command): void {
  command.example('pulleystack create-key')
}

export async function handler (context: CommandContext): Promise<ExitCode> {
  const key = createAccessKey()
  context.write(JSON.stringify({ key, keyHash: hashAccessKey(key) }))
  return ExitCodes.OK
}
