import type { TimelineEvent } from '@pulleystack/timeline.events'
import { renderJsonLines, renderPage, renderText, type TimelineFilter } from '@pulleystack/timeline.merge'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Command } from 'cac'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp } from '../connectionHelp.js'

export interface TimelineOptions extends ConnectionOptions, TimelineFilter {
  output?: string
}

type Renderer = (events: readonly TimelineEvent[]) => string

const RENDERERS: Readonly<Record<string, Renderer>> = {
  text: renderText,
  json: renderJsonLines,
  html: (events) => renderPage(events, 'pulleystack timeline'),
}

export const name = 'timeline'
export const description = 'Show the merged events of all instances'

export function help (command: Command): void {
  addConnectionHelp(command)
    .option('--request <id>', 'Only events of this request')
    .option('--order <id>', 'Only events of this order')
    .option('--object <key>', 'Only events of this object')
    .option('--partner <partner>', 'Only events of this partner')
    .option('--server <id>', 'Only events of this backend server or instance')
    .option('--model <item>', 'Only events of this item')
    .option('--limit <count>', 'Only the newest COUNT events')
    .option('-o, --output <format>', 'Output format: text, json (one event per line) or html')
    .example('pulleystack timeline --request 6e5b... -o html > request.html')
}

export async function handler (context: CommandContext, _: readonly string[], opts: TimelineOptions): Promise<ExitCode> {
  const render = RENDERERS[opts.output ?? 'text']
  if (!render) throw new PulleystackError('USAGE', `Unknown output format "${opts.output}"`, { hint: 'Use text, json or html.' })
  const { request, order, object, partner, server, model } = opts
  const limit = opts.limit === undefined ? undefined : String(opts.limit)
  const response = await new AdminClient(context, opts).get('/admin/timeline', { request, order, object, partner, server, model, limit }) as { events: TimelineEvent[] }
  context.write(render(response.events))
  return ExitCodes.OK
}
