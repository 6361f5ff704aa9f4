import { readFile } from 'node:fs/promises'
import { PulleystackError } from '@pulleystack/core.errors'
import { buildRequestTrace, readLogLines, renderRequestTrace, type LogLine } from '@pulleystack/timeline.story'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { parseMilliseconds } from '../parseMilliseconds.js'

export interface ExplainRequestOptions {
  logs?: string | string[]
  /** Longest pause allowed within a stream, in milliseconds. */
  pause?: unknown
}

export const name = 'explain-request <id> [...files]'
export const description = 'Explain from log files what happened to a request'

export function help (command: Command): void {
  command
    .option('--logs <file>', 'Log file of an instance; can be repeated, or listed after the id')
    .option('--pause <ms>', 'Longest pause allowed within a stream; after a longer one, shows the load of the server')
    .example('pulleystack explain-request 9c41d07be2a35f68 entry-1.log entry-2.log')
}

export async function handler (context: CommandContext, args: readonly string[], opts: ExplainRequestOptions): Promise<ExitCode> {
  const [id, ...positional] = args
  const files = [...positional, ...[opts.logs ?? []].flat().map(String)]
  if (id === undefined || files.length === 0) throw new PulleystackError('USAGE', 'Specify a request id and at least one log file', { hint: 'pulleystack explain-request ID FILE...' })
  const allowedPauseMs = parseMilliseconds(opts.pause, '--pause')
  const lines = (await Promise.all(files.map(readLog))).flat()
  const story = buildRequestTrace(lines, id, allowedPauseMs)
  if (!story) throw new PulleystackError('OBJECT_UNKNOWN', `Request ${id} does not occur in these logs`, { hint: 'Include the logs of all instances.' })
  context.write(renderRequestTrace(story))
  return ExitCodes.OK
}

async function readLog (file: string): Promise<LogLine[]> {
  try {
    return readLogLines(await readFile(file, 'utf8'))
  } catch (cause) {
    throw new PulleystackError('USAGE', `Cannot read log ${file}`, { cause })
  }
}
