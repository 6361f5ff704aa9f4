import { PulleystackError } from '@pulleystack/core.errors'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp } from '../connectionHelp.js'
import { listObjects, type GetOptions } from './get.js'

export type DescribeOptions = GetOptions

export const name = 'describe <kind> <name>'
export const description = 'Show all fields of an object'

export function help (command: Command): void {
  addConnectionHelp(command).option('--partner <partner>', 'Partner of the object').example('pulleystack describe Service drafts')
}

export async function handler (context: CommandContext, args: readonly string[], opts: DescribeOptions): Promise<ExitCode> {
  const objects = await listObjects(context, opts, args)
  if (objects.length === 0) throw new PulleystackError('OBJECT_UNKNOWN', `${args.join(' ')} does not exist`)
  for (const object of objects) context.write(JSON.stringify(object, null, 2))
  return ExitCodes.OK
}
