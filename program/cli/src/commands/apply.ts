import { readFile } from 'node:fs/promises'
import { PulleystackError } from '@pulleystack/core.errors'
import type { Command } from 'cac'
import { parse, type ParseError } from 'jsonc-parser'
import { AdminClient, type ConnectionOptions } from '../AdminClient.js'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'
import { addConnectionHelp, addOutputHelp } from '../connectionHelp.js'
import { formatOutput, type OutputOptions } from '../output.js'

export interface ApplyOptions extends ConnectionOptions, OutputOptions {
  file?: string
  dryRun?: boolean
}

interface ApplyResponse {
  results: { key: string, action: string, version: number, differences: { field: string, before: unknown, after: unknown }[] }[]
}

export const name = 'apply'
export const description = 'Create or update objects from a file'

export function help (command: Command): void {
  addOutputHelp(addConnectionHelp(command))
    .option('-f, --file <file>', 'JSON with comments: one object or a list of objects')
    .option('--dry-run', 'Show the differences without applying them')
    .example('pulleystack apply -f examples/peritos.jsonc --dry-run')
}

export async function handler (context: CommandContext, _: readonly string[], opts: ApplyOptions): Promise<ExitCode> {
  if (!opts.file) throw new PulleystackError('USAGE', 'No file specified', { hint: 'pulleystack apply -f FILE' })
  const objects = await readObjects(opts.file)
  const response = await new AdminClient(context, opts).post('/admin/apply', { objects, dryRun: opts.dryRun ?? false }) as ApplyResponse
  const rows = response.results.map((it) => [it.key, it.action, it.version, it.differences.map((difference) => difference.field).join(' ')])
  context.write(formatOutput(opts, response, ['object', 'action', 'version', 'differences'], rows))
  return ExitCodes.OK
}

/** Reads one object or a list of objects. Throws USAGE if the file is unreadable or malformed. */
export async function readObjects (file: string): Promise<unknown[]> {
  const text = await readFile(file, 'utf8').catch((cause: unknown) => {
    throw new PulleystackError('USAGE', `Cannot read file ${file}`, { cause })
  })
  const errors: ParseError[] = []
  const value: unknown = parse(text, errors, { allowTrailingComma: true })
  if (errors[0]) throw new PulleystackError('USAGE', `File ${file} is not valid JSON with comments: syntax error at character ${errors[0].offset}`)
  return Array.isArray(value) ? value : [value]
}
