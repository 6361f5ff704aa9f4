import type { Command } from 'cac'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp, addOutputHelp } from '../connectionHelp.js'
import { formatOutput, type OutputOptions } from '../output.js'

export interface GetOptions extends ConnectionOptions, OutputOptions {
  partner?: string
}

/** An object as the admin API returns it. */
export interface ListedObject {
  kind: string
  partner: string
  name: string
  labels?: Record<string, string>
  generation?: number
  version: number
  spec: unknown
}

export const name = 'get [kind] [name]'
export const description = 'List objects'

export function help (command: Command): void {
  addOutputHelp(addConnectionHelp(command)).option('--partner <partner>', 'Only objects of this partner').example('pulleystack get Model -o json')
}

export async function handler (context: CommandContext, args: readonly string[], opts: GetOptions): Promise<ExitCode> {
  const objects = await listObjects(context, opts, args)
  const rows = objects.map((it) => [it.kind, it.partner, it.name, it.version, it.generation, formatLabels(it.labels)])
  context.write(formatOutput(opts, objects, ['kind', 'partner', 'name', 'version', 'generation', 'labels'], rows))
  return ExitCodes.OK
}

export async function listObjects (context: CommandContext, opts: GetOptions, [kind, name]: readonly string[]): Promise<ListedObject[]> {
  const response = await new AdminClient(context, opts).get('/admin/objects', { kind, name, partner: opts.partner }) as { objects: ListedObject[] }
  return response.objects
}

function formatLabels (labels: Record<string, string> = {}): string {
  return Object.entries(labels).map(([label, value]) => `${label}=${value}`).join(',')
}
