import { runCli } from './runCli.js'

void runCli(process.argv).then((code) => {
  if (code !== undefined) process.exitCode = code
})
