import { PulleystackError } from '@pulleystack/core.errors'
import { OrderCollector, renderOrderHistory } from '@pulleystack/timeline.orders'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { parseMilliseconds } from '../parseMilliseconds.js'
import { readLogFile } from '../readLogFile.js'

/** The bound of the lease, and the longest time on the way that was seen. */
const DEFAULT_GAP_MS = 3_000
const DEFAULT_TRAVEL_MS = 12_000

export interface ExplainOrdersOptions {
  /** Minimum time between the orders of two holders to one server, in milliseconds. */
  gap?: unknown
  /** Longest time from when an order is sent until it arrives, in milliseconds. */
  travel?: unknown
  server?: unknown
}

export const name = 'explain-orders [...logs]'
export const description = 'List from log files the orders to each server, the changes of the lease holder, and orders of two holders that conflict'

export function help (command: Command): void {
  command
    .option('--gap <ms>', `Least time between the orders of two holders to one server; ${DEFAULT_GAP_MS} by default`)
    .option('--travel <ms>', `Longest time until an order without an answer arrives; ${DEFAULT_TRAVEL_MS} by default`)
    .option('--server <id>', 'Only the orders to this server')
    .example('pulleystack explain-orders --server i-a2d4e9e3 entry-1.log entry-2.log')
}

export async function handler (context: CommandContext, logs: readonly string[], opts: ExplainOrdersOptions): Promise<ExitCode> {
  if (logs.length === 0) throw new PulleystackError('USAGE', 'Specify at least one log file', { hint: 'pulleystack explain-orders [--gap MS] [--travel MS] LOG...' })
  const bounds = { gapMs: parseMilliseconds(opts.gap, '--gap') ?? DEFAULT_GAP_MS, travelMs: parseMilliseconds(opts.travel, '--travel') ?? DEFAULT_TRAVEL_MS }
  const collector = new OrderCollector(opts.server === undefined ? undefined : String(opts.server))
  for (const log of logs) await readLogFile(log, collector)
  context.write(renderOrderHistory(collector.build(), bounds))
  return ExitCodes.OK
}
