import { PulleystackError, convertToError, type ResultCodeName } from '@pulleystack/core.errors'
import cac from 'cac'
import { ExitCodes, type CommandContext, type CommandModule, type ExitCode } from './Command.js'
import { commands } from './commands/index.js'

const VERSION = '0.1.0'

/** Runs one command line; resolves with the exit code, or undefined if the command keeps running. */
export async function runCli (argv: readonly string[], context: CommandContext = createContext()): Promise<ExitCode | undefined> {
  const cli = cac('pulleystack')
  let exitCode: Promise<ExitCode | undefined> | undefined
  for (const module of commands) {
    const command = cli.command(module.name, module.description)
    module.help(command)
    command.action((...argsAndOptions: unknown[]) => {
      exitCode = runCommand(module, context, argsAndOptions)
    })
  }
  cli.help()
  cli.version(VERSION)
  try {
    cli.parse([...argv], { run: false })
    if (cli.options.help || cli.options.version) return ExitCodes.OK
    if (!cli.matchedCommand) return reportUnknownCommand(cli.args[0], () => cli.outputHelp())
    await cli.runMatchedCommand()
    return await exitCode
  } catch (thrown) {
    return reportError(thrown instanceof PulleystackError
      ? thrown
      : new PulleystackError('USAGE', convertToError(thrown).message.replace('Unexpected fault: ', ''), {
          hint: 'Run pulleystack COMMAND --help for usage.',
        }))
  }
}

async function runCommand (module: CommandModule, context: CommandContext, argsAndOptions: unknown[]): Promise<ExitCode | undefined> {
  const opts = argsAndOptions.at(-1) as Record<string, unknown>
  const args = argsAndOptions.slice(0, -1).flat().filter((arg) => arg !== undefined).map(String)
  try {
    return await module.handler(context, args, opts)
  } catch (thrown) {
    return reportError(convertToError(thrown))
  }
}

function reportUnknownCommand (name: string | undefined, showHelp: () => void): ExitCode {
  if (name === undefined) {
    showHelp()
    return ExitCodes.OK
  }
  return reportError(new PulleystackError('USAGE', `Unknown command "${name}"`, { hint: 'Run pulleystack --help for a list of commands.' }))
}

function reportError (error: PulleystackError): ExitCode {
  const lines = [`error ${error.resultCode.number} ${error.code}: ${error.message}`]
  if (error.field !== undefined) lines.push(`  field: ${error.field}`)
  if (error.details !== undefined) lines.push(`  details: ${JSON.stringify(error.details)}`)
  if (error.hint !== undefined) lines.push(`  hint: ${error.hint}`)
  process.stderr.write(`${lines.join('\n')}\n`)
  return chooseExitCode(error.code)
}

function chooseExitCode (code: ResultCodeName): ExitCode {
  if (code === 'USAGE') return ExitCodes.USAGE
  if (code === 'VERSION_CONFLICT') return ExitCodes.CONFLICT
  if (code === 'INSTANCE_UNREACHABLE') return ExitCodes.UNREACHABLE
  return code === 'INTERNAL' ? ExitCodes.FAILED : ExitCodes.REJECTED
}

function createContext (): CommandContext {
  return { write: (text) => void process.stdout.write(`${text}\n`), environment: process.env }
}
