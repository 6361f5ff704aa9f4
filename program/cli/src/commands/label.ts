import { PulleystackError } from '@pulleystack/core.errors'
import type { Command } from 'cac'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp } from '../connectionHelp.js'

export interface LabelOptions extends ConnectionOptions {
  partner?: string
}

export const name = 'label <kind> <name> [...labels]'
export const description = 'Set labels (name=value) or remove them (name-)'

export function help (command: Command): void {
  addConnectionHelp(command).option('--partner <partner>', 'Partner of the object').example('pulleystack label Caller notary-7 --partner peritos tier=gold trial-')
}

export async function handler (context: CommandContext, args: readonly string[], opts: LabelOptions): Promise<ExitCode> {
  const [kind, object, ...changes] = args
  const labels = Object.fromEntries(changes.map(parseLabelChange))
  const response = await new AdminClient(context, opts).post('/admin/label', { kind, name: object, partner: opts.partner, labels }) as { action: string, version: number }
  context.write(`${kind} ${object} ${response.action}, version ${response.version}`)
  return ExitCodes.OK
}

function parseLabelChange (change: string): [string, string | null] {
  if (change.endsWith('-')) return [change.slice(0, -1), null]
  const separator = change.indexOf('=')
  if (separator > 0) return [change.slice(0, separator), change.slice(separator + 1)]
  throw new PulleystackError('USAGE', `"${change}" is not a valid label`, { hint: 'Use name=value, or name- to remove a label.' })
}
