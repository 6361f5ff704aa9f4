import { readSettingsFile } from '@pulleystack/config.settings'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'

export const name = 'settings <action> <file>'
export const description = 'Validate a settings file and show it with all defaults (settings check FILE)'

export function help (command: Command): void {
  command.example('pulleystack settings check examples/settings.jsonc')
}

export async function handler (context: CommandContext, [action, file]: readonly string[]): Promise<ExitCode> {
  if (action !== 'check' || file === undefined) throw new PulleystackError('USAGE', `Unknown action "settings ${action}"`, { hint: 'pulleystack settings check FILE' })
  const settings = await readSettingsFile(file, context.environment)
  if (settings.isErr()) throw settings.error
  context.write(JSON.stringify(settings.value, null, 2))
  return ExitCodes.OK
}
