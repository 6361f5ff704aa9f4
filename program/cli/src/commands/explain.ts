import { PulleystackError } from '@pulleystack/core.errors'
import type { Command } from 'cac'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp, addOutputHelp } from '../connectionHelp.js'
import { formatOutput, type OutputOptions } from '../output.js'

export interface ExplainOptions extends ConnectionOptions, OutputOptions {
  caller?: string
  model?: string
  service?: string
  partner?: string
  host?: string
  path?: string
}

interface ExplainResponse {
  service: string
  items: string[]
  conclusion: string
  servers: { server: string, dataHall: string, load: number, ownInFlight: number, limit: number, why: string }[]
}

interface ExplainRouteResponse {
  route: string
  pathPrefix: string
  conclusion: string
  targets: { service: string, share: number, servers: { server: string, dataHall: string, running: number, slots: number, why: string }[] }[]
}

export const name = 'explain'
export const description = 'Show where a request would run now, or why it cannot run'

export function help (command: Command): void {
  addOutputHelp(addConnectionHelp(command))
    .option('--caller <name>', 'Caller of the request')
    .option('--model <name>', 'Model, model@version or adapter')
    .option('--service <name>', 'Plain service')
    .option('--partner <partner>', 'Partner of the caller (platform operators only)')
    .option('--host <host>', 'Host of a routed request')
    .option('--path <path>', 'Path of a routed request (default: /)')
    .example('pulleystack explain --caller firm-1 --model appeal-large')
    .example('pulleystack explain --host window.example --path /plots/12')
}

export async function handler (context: CommandContext, _: readonly string[], opts: ExplainOptions): Promise<ExitCode> {
  if (opts.host !== undefined) return explainRoute(context, opts)
  if (!opts.caller || (!opts.model && !opts.service)) throw new PulleystackError('USAGE', 'Specify a caller and a model or service, or a host and path')
  const { caller, model, service, partner } = opts
  const response = await new AdminClient(context, opts).get('/admin/explain', { caller, model, service, partner }) as ExplainResponse
  const rows = response.servers.map((it) => [it.server, it.dataHall, it.load.toFixed(0), `${it.ownInFlight}/${it.limit}`, it.why])
  if (opts.output !== 'json') context.write(`service ${response.service}${response.items.length > 0 ? `, items ${response.items.join(' or ')}` : ''}: ${response.conclusion}`)
  context.write(formatOutput(opts, response, ['server', 'data hall', 'load', 'own', 'why'], rows))
  return ExitCodes.OK
}

async function explainRoute (context: CommandContext, opts: ExplainOptions): Promise<ExitCode> {
  const response = await new AdminClient(context, opts).get('/admin/explain-route', { host: opts.host, path: opts.path ?? '/' }) as ExplainRouteResponse
  const rows = response.targets.flatMap(({ service, share, servers }) => servers.map((it) => [
    service,
    `${Math.round(share * 100)} %`,
    it.server,
    it.dataHall,
    `${it.running}/${it.slots}`,
    it.why,
  ]))
  if (opts.output !== 'json') context.write(`route ${response.route} (${response.pathPrefix}): ${response.conclusion}`)
  context.write(formatOutput(opts, response, ['service', 'share', 'server', 'data hall', 'running', 'why'], rows))
  return ExitCodes.OK
}
