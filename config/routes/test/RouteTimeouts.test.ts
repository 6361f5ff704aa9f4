import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import { RepeatModes, RouteTable, RouteTimeouts, buildTimeoutTable, parseTimeoutTable, type Route } from '../src/index.js'

const HOST = 'a.example'
const SEEDS = 50

function buildRoute (pathPrefix: string, timeoutMs: number, host = HOST): Route {
  return {
    name: `${host}${pathPrefix}`,
    host,
    pathPrefix,
    targets: [],
    repeat: RepeatModes.ONCE,
    streams: false,
    resumable: false,
    timeoutMs,
    targetLatencyMs: 100,
    longestPauseMs: undefined,
    priority: 1,
    maxAttempts: 1,
  }
}

function buildTable (routes: readonly Route[]): RouteTable {
  return new RouteTable({ version: 7, routes, services: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
}

describe('the time limits of routes', () => {
  it('are those of the longest matching prefix', () => {
    const { config } = buildTable([buildRoute('/a/', 400), buildRoute('/a/b/', 3_000), buildRoute('/c/', 3_000), buildRoute('/', 100, 'b.example')])
    const timeouts = new RouteTimeouts(buildTimeoutTable(config))
    const find = (path: string, host = `${HOST}:80`): number | undefined => timeouts.find(host, path)
    assert.deepEqual([find('/a/x'), find('/a/b/x'), find('/c/x?y'), find('/x', 'B.example'), find('/x', 'unknown.example')], [400, 3_000, 3_000, 100, undefined])
  })

  it('list only the routes that differ from most of their host', () => {
    const { config } = buildTable([buildRoute('/a/', 400), ...Array.from({ length: 1_000 }, (_, at) => buildRoute(`/r${at}/`, 3_000))])
    assert.deepEqual(buildTimeoutTable(config), { version: 7, hosts: [{ host: HOST, defaultMs: 3_000, exceptions: [['/a/', 400]] }] })
  })

  it('are those of the routes themselves, for any nesting of prefixes', () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
      const random = new RandomSource(seed)
      const choose = <T>(items: readonly T[]): T => items[Math.floor(random.readFraction() * items.length)] as T
      const prefixes = new Set(Array.from({ length: 20 }, () => '/' + Array.from({ length: 3 }, () => choose(['a/', 'b/', ''])).join('')))
      const table = buildTable([...prefixes].map((prefix) => buildRoute(prefix, choose([100, 200, 300]))))
      const timeouts = new RouteTimeouts(buildTimeoutTable(table.config))
      for (const prefix of prefixes) assert.equal(timeouts.find(HOST, `${prefix}x`), table.findRoute(HOST, `${prefix}x`)?.timeoutMs, `seed ${seed}, ${prefix}`)
    }
  })

  it('are read from another instance only in their own form', () => {
    const table = { version: 7, hosts: [{ host: HOST, defaultMs: 3_000, exceptions: [['/a/', 400]] }] }
    assert.deepEqual(parseTimeoutTable(structuredClone(table)), table)
    const [host] = table.hosts
    const changes = [
      { host: 1 },
      { defaultMs: '1' },
      { defaultMs: -1 },
      { defaultMs: NaN },
      { exceptions: null },
      { exceptions: [null] },
      { exceptions: [['/a/']] },
      { exceptions: [[1, 1]] },
    ]
    const tables = [{ version: '7' }, { version: NaN }, { hosts: {} }, { hosts: [null] }, ...changes.map((change) => ({ hosts: [{ ...host, ...change }] }))]
    const malformed = [null, 7, 'x', [], {}, ...tables.map((change) => ({ ...table, ...change }))]
    for (const value of malformed) assert.equal(parseTimeoutTable(value), undefined, JSON.stringify(value))
  })
})
