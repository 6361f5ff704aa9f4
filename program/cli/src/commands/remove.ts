import type { Command } from 'cac'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp } from '../connectionHelp.js'

export interface DeleteOptions extends ConnectionOptions {
  partner?: string
  expectedVersion?: number
}

export const name = 'delete <kind> <name>'
export const description = 'Delete an object that no other object refers to'

export function help (command: Command): void {
  addConnectionHelp(command)
    .option('--partner <partner>', 'Partner of the object')
    .option('--expected-version <version>', 'Delete only if the object still has this version')
    .example('pulleystack delete Adapter zoning-2025 --partner peritos')
}

export async function handler (context: CommandContext, [kind, object]: readonly string[], opts: DeleteOptions): Promise<ExitCode> {
  const version = opts.expectedVersion === undefined ? undefined : String(opts.expectedVersion)
  await new AdminClient(context, opts).remove('/admin/objects', { kind, name: object, partner: opts.partner, version })
  context.write(`${kind} ${object} deleted`)
  return ExitCodes.OK
}
