export { runCli } from './runCli.js'
