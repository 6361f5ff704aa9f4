import type { Command } from 'cac'

/** Adds the options shared by all commands that connect to the admin API. */
export function addConnectionHelp (command: Command): Command {
  return command
    .option('--address <list>', 'Comma-separated addresses of entry instances (PULLEYSTACK_ADDRESS)')
    .option('--key <key>', 'Operator key (PULLEYSTACK_KEY)')
    .option('--tls', 'Connect over TLS')
}

export function addOutputHelp (command: Command): Command {
  return command.option('-o, --output <format>', 'Output format: json or table')
}
