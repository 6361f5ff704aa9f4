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
  const [kind, object, ...terms] = args
  const labels = Object.fromEntries(terms.map(parseTerm))
  const answer = await new AdminClient(context, opts).post('/admin/label', { kind, name: object, partner: opts.partner, labels }) as { action: string, version: number }
  context.write(`${kind} ${object} ${answer.action}, version ${answer.version}`)
  return ExitCodes.OK
}

function parseTerm (term: string): [string, string | null] {
  if (term.endsWith('-')) return [term.slice(0, -1), null]
  const equals = term.indexOf('=')
  if (equals > 0) return [term.slice(0, equals), term.slice(equals + 1)]
  throw new PulleystackError('USAGE', `"${term}" is no label`, { hint: 'Write name=value, or name- to remove it.' })
}
