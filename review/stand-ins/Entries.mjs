import { spawn } from 'node:child_process'
import fs from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import os from 'node:os'
import path from 'node:path'
import { names } from './names.mjs'

const ROOT = path.resolve(import.meta.dirname, '..', '..')
const PORTS = ['front', 'ready', 'control', 'directory', 'inner']
const START_TIMEOUT_MS = 20_000

/** The processes of the system, started with the command of the deploy file on loopback addresses. */
export class Entries {
  constructor () {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'))
    this.nodes = []
  }

  async start (count, store) {
    const ports = await findPorts()
    const ips = Array.from({ length: count }, (_, at) => `127.0.0.${at + 11}`)
    const seeds = ips.slice(0, 3).map((ip) => `"${ip}:${ports.control}"`).join(',')
    for (const [at, ip] of ips.entries()) {
      const values = { ...ports, innerEnd: ports.inner + 15, name: `front-${at + 1}`, ip, seeds, store }
      const settings = path.join(this.folder, `${values.name}.toml`)
      fs.writeFileSync(settings, names.settings.map((line) => fill(line, values)).join('\n') + '\n')
      this.nodes.push({ name: values.name, settings, front: `${ip}:${ports.front}`, ready: `${ip}:${ports.ready}` })
    }
    for (const node of this.nodes) this.launch(node)
    await Promise.all(this.nodes.map((node) => waitUntilReady(node)))
  }

  launch (node) {
    const [program, ...args] = readCommand()
    const { PATH, HOME, LANG } = process.env
    const output = fs.openSync(path.join(this.folder, `${node.name}.log`), 'a')
    const env = { PATH, HOME, ...LANG === undefined ? {} : { LANG }, PULLEYSTACK_CONFIG: node.settings }
    node.process = spawn(program === 'node' ? process.execPath : program, args, { cwd: ROOT, env, stdio: ['ignore', output, output] })
  }

  /** Ends the processes that were started. */
  stop () {
    for (const { process: child } of this.nodes) child?.kill('SIGKILL')
    fs.rmSync(this.folder, { recursive: true, force: true })
  }
}

/** The command of the deploy file that runs on the machines that clients reach. */
function readCommand () {
  const text = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8')
  const command = /^run = "(.*)"$/m.exec(text)?.[1]
  if (command === undefined) throw new Error('The deploy file has no command')
  return command.split(' ')
}

function fill (line, values) {
  return line.replace(/\{(\w+)\}/g, (gap, name) => values[name] ?? gap)
}

async function waitUntilReady (node) {
  const until = performance.now() + START_TIMEOUT_MS
  while (performance.now() < until) {
    if (await ask(node.ready) === 200) return
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
  throw new Error(`${node.name} did not become ready`)
}

function ask (address) {
  return new Promise((resolve) => {
    const request = http.get(`http://${address}${names.paths.ready}`, { agent: false, timeout: 1_000 }, (response) => {
      response.resume()
      resolve(response.statusCode)
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(0))
  })
}

/** Ports that are free on the loopback addresses at present, a block of inner ones among them. */
async function findPorts () {
  const servers = await Promise.all(PORTS.map(() => listen()))
  const found = Object.fromEntries(servers.map((server, at) => [PORTS[at], server.address().port]))
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))))
  return found
}

function listen () {
  return new Promise((resolve) => {
    const server = net.createServer().listen(0, '127.0.0.1', () => resolve(server))
  })
}
