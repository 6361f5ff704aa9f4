import { PulleystackError } from '@pulleystack/core.errors'
import { LoadSummaryBuilder, formatLoadJsonLines, formatLoadTables } from '@pulleystack/timeline.load-summary'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { parseMilliseconds } from '../parseMilliseconds.js'
import { readLogFile } from '../readLogFile.js'

export interface SummarizeLoadOptions {
  /** Longest pause allowed within a stream, in milliseconds. */
  pause?: unknown
  json?: boolean
}

export const name = 'summarize-load [...logs]'
export const description = 'Summarize streams, waits, failures and loads from log files'

export function help (command: Command): void {
  command
    .option('--pause <ms>', 'Longest pause allowed within a stream; shows the share of streams over it')
    .option('--json', 'Print JSON lines instead of tables')
    .example('pulleystack summarize-load --pause 250 entry-1.log entry-2.log')
}

export async function handler (context: CommandContext, logs: readonly string[], opts: SummarizeLoadOptions): Promise<ExitCode> {
  if (logs.length === 0) throw new PulleystackError('USAGE', 'Specify at least one log file', { hint: 'pulleystack summarize-load [--pause MS] LOG...' })
  const builder = new LoadSummaryBuilder({ allowedPauseMs: parseMilliseconds(opts.pause, '--pause') })
  for (const log of logs) await readLogFile(log, builder)
  const summary = builder.build()
  context.write(opts.json === true ? formatLoadJsonLines(summary) : formatLoadTables(summary))
  return ExitCodes.OK
}
