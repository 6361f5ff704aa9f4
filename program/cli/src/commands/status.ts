import type { InstanceStatus } from '@pulleystack/program.instance'
import type { Command } from 'cac'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp, addOutputHelp } from '../connectionHelp.js'
import { formatOutput, type OutputOptions } from '../output.js'

export type StatusOptions = ConnectionOptions & OutputOptions

type ServerStatus = InstanceStatus['shards'][number]['servers'][string]

interface StatusResponse {
  instances: InstanceStatus[]
  rejected: { key: string, version: number, error: string }[]
}

const GIB = 1024 ** 3

export const name = 'status'
export const description = 'Show instances, accelerators and problems'

export function help (command: Command): void {
  addOutputHelp(addConnectionHelp(command)).example('pulleystack status')
}

export async function handler (context: CommandContext, _: readonly string[], opts: StatusOptions): Promise<ExitCode> {
  const response = await new AdminClient(context, opts).get('/admin/status') as StatusResponse
  const instances = response.instances.map((it) => [it.instance, it.dataHall, it.state, it.ready, it.configVersion, it.objects, it.runners, it.queued])
  context.write(formatOutput(opts, response, ['instance', 'data hall', 'state', 'ready', 'config', 'objects', 'runners', 'queued'], instances))
  if (opts.output === 'json') return ExitCodes.OK
  const shards = response.instances.flatMap((it) => it.shards)
  const servers = shards.flatMap((shard) => Object.entries(shard.servers).map(([id, server]) => describeServer(shard.shard, id, server)))
  if (servers.length > 0) context.write(`\n${formatOutput(opts, servers, ['accelerator', 'shard', 'used', 'of', 'resident'], servers)}`)
  for (const item of shards.flatMap((shard) => shard.unplaced)) context.write(`attention: ${item} does not fit on any accelerator`)
  for (const it of response.rejected) context.write(`attention: ${it.key} version ${it.version} was rejected: ${it.error}`)
  return ExitCodes.OK
}

function describeServer (shard: string, id: string, server: ServerStatus): unknown[] {
  const used = server.entries.reduce((sum, entry) => sum + entry.bytes, 0)
  const resident = server.entries.map((entry) => entry.state === 'ready' ? entry.item : `${entry.item} (${entry.state})`)
  return [id, shard, `${(used / GIB).toFixed(1)} GiB`, `${(server.capacity / GIB).toFixed(1)} GiB`, resident.join(' ')]
}
