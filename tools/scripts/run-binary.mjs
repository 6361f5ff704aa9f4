// Runs the built binary in the foreground with the given arguments.
import { spawn } from 'node:child_process'

const child = spawn('dist/pulleystack', process.argv.slice(2), { stdio: 'inherit' })
for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => child.kill(signal))
child.on('exit', (code) => process.exit(code ?? 1))
