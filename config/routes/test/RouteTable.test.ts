import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import { hashAccessKey } from '@pulleystack/core.hashing'
import { RepeatModes, RouteTable, chooseTarget, type Route, type Team } from '../src/index.js'

function createRoute (changes: Partial<Route>): Route {
  return {
    name: 'r',
    host: 'a.example',
    pathPrefix: '/',
    targets: [{ service: 's', weight: 1 }],
    repeat: RepeatModes.ONCE,
    streams: false,
    resumable: false,
    timeoutMs: 1000,
    targetLatencyMs: 100,
    longestPauseMs: undefined,
    priority: 0,
    maxAttempts: 1,
    ...changes,
  }
}

function createTable (routes: Route[], teams?: Team[]): RouteTable {
  return new RouteTable({ version: 1, routes, services: [], teams, limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } })
}

describe('RouteTable', () => {
  const short = createRoute({ name: 'short', pathPrefix: '/a/' })
  const long = createRoute({ name: 'long', pathPrefix: '/a/b/' })
  const table = createTable([short, long])

  it('finds the route with the longest prefix', () => {
    assert.equal(table.findRoute('a.example', '/a/b/c')?.name, 'long')
    assert.equal(table.findRoute('a.example', '/a/bc')?.name, 'short')
  })

  it('ignores the port and the case of the host', () => {
    assert.equal(table.findRoute('A.Example:8080', '/a/x')?.name, 'short')
  })

  it('finds nothing for another host or path', () => {
    assert.equal(table.findRoute('b.example', '/a/x'), undefined)
    assert.equal(table.findRoute('a.example', '/ab'), undefined)
  })

  it('finds a team by any of its keys and stores none of them', () => {
    const keyed = createTable([], [{ name: 'valuers', keyHashes: ['k-1', 'k-2'].map(hashAccessKey), priority: 1, quota: undefined }])
    assert.equal(keyed.findTeamByKey('k-2')?.name, 'valuers')
    assert.equal(keyed.findTeamByKey('k-3'), undefined)
    assert.equal(keyed.findTeamByKey(hashAccessKey('k-1')), undefined)
    assert.doesNotMatch(JSON.stringify(keyed.config), /k-[12]/)
  })

  it('requires keys only if teams are configured', () => {
    assert.equal(table.hasTeams, false)
    assert.equal(createTable([], []).hasTeams, true)
  })

  it('splits requests by weight', () => {
    const route = createRoute({ targets: [{ service: 'x', weight: 90 }, { service: 'y', weight: 10 }] })
    const random = new RandomSource(1)
    const chosen = Array.from({ length: 1000 }, () => chooseTarget(route, random))
    const share = chosen.filter((service) => service === 'y').length / chosen.length
    assert.ok(share > 0.07 && share < 0.13, `share ${share}`)
  })
})
