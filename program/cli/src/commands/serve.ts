import { readSettingsFile } from '@pulleystack/config.settings'
import { PulleystackError } from '@pulleystack/core.errors'
import { connectPlatform, startInstance, type Instance } from '@pulleystack/program.instance'
import type { Command } from 'cac'
import type { CommandContext, ExitCode } from '../Command.js'

export interface ServeOptions {
  settings?: string
}

export const name = 'serve'
export const description = 'Run an entry instance'

export function help (command: Command): void {
  command.option('--settings <file>', 'Settings file, JSON with comments').example('pulleystack serve --settings examples/settings.jsonc')
}

export async function handler (context: CommandContext, _: readonly string[], opts: ServeOptions): Promise<ExitCode | undefined> {
  if (!opts.settings) throw new PulleystackError('USAGE', 'No settings file specified', { hint: 'pulleystack serve --settings FILE' })
  const settings = await readSettingsFile(opts.settings, context.environment)
  if (settings.isErr()) throw settings.error
  const instance = await startInstance(settings.value, connectPlatform(settings.value))
  handleSignals(instance)
  context.write(JSON.stringify({ instance: instance.name, address: instance.address, peerAddress: instance.peerAddress }))
  return undefined
}

function handleSignals (instance: Instance): void {
  const stop = (): void => {
    void instance.stop().then((abortedRequests) => {
      if (abortedRequests > 0) process.stderr.write(`stopped early: ${abortedRequests} requests aborted\n`)
      process.exit(abortedRequests > 0 ? 1 : 0)
    })
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
}
