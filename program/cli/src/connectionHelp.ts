import type { Command } from 'cac'

/** The options that all commands for operators share. */
export function addConnectionHelp (command: Command): Command {
  return command
    .option('--address <list>', 'Addresses of entry instances, separated by commas (PULLEYSTACK_ADDRESS)')
    .option('--key <key>', 'Operator key (PULLEYSTACK_KEY)')
    .option('--tls', 'Connect over TLS')
}

export function addOutputHelp (command: Command): Command {
  return command.option('-o, --output <format>', 'json or table')
}
