import type { Command as CacCommand } from 'cac'

/** Exit codes, also listed in docs/operators/command-line.md. */
export const ExitCodes = { OK: 0, FAILED: 1, USAGE: 2, REJECTED: 3, CONFLICT: 4, UNREACHABLE: 5 } as const
export type ExitCode = typeof ExitCodes[keyof typeof ExitCodes]

/** What a command's handler gets besides its arguments and options. */
export interface CommandContext {
  write: (text: string) => void
  environment: Readonly<Record<string, string | undefined>>
}

/** One command; its module exports `handler`, `help` and its options' type. */
export interface CommandModule {
  /** As cac writes it: name, <required> and [optional] arguments. */
  name: string
  description: string
  help: (command: CacCommand) => void
  /** Arguments in order, then options; gives the exit code, or undefined to keep running. */
  handler: (context: CommandContext, args: readonly string[], opts: Record<string, unknown>) => Promise<ExitCode | undefined>
}
