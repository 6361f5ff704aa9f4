import type { Command as CacCommand } from 'cac'

/** Exit codes, documented in docs/operators/command-line.md. */
export const ExitCodes = { OK: 0, FAILED: 1, USAGE: 2, REJECTED: 3, CONFLICT: 4, UNREACHABLE: 5 } as const
export type ExitCode = typeof ExitCodes[keyof typeof ExitCodes]

/** Output and environment of a command's handler. */
export interface CommandContext {
  write: (text: string) => void
  environment: Readonly<Record<string, string | undefined>>
}

/** Exports of a command's module. */
export interface CommandModule {
  /** In cac syntax: name, <required> and [optional] arguments. */
  name: string
  description: string
  help: (command: CacCommand) => void
  /** Resolves with the exit code, or undefined to keep the process running. */
  handler: (context: CommandContext, args: readonly string[], opts: Record<string, unknown>) => Promise<ExitCode | undefined>
}
