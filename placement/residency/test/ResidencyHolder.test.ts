import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { RouteTable, type ModelServing } from '@pulleystack/config.routes'
import { DEFAULT_POLICY } from '@pulleystack/config.settings'
import { ManualClock } from '@pulleystack/core.clock'
import { BackendFleet } from '@pulleystack/routing.fleet'
import { NullDecisionLog } from '@pulleystack/timeline.decisions'
import { ResidencyHolder } from '../src/index.js'
import { RecordingServers, SERVING } from './RecordingServers.js'

describe('ResidencyHolder in a large system whose servers have restarted empty', () => {
  const SERVERS = 30
  const RATE = 20
  const LOAD_SECONDS = 4

  it('loads on as many servers concurrently as the weight store\'s rate allows', async () => {
    const clock = new ManualClock()
    const servers = new RecordingServers(clock)
    const models = Array.from({ length: SERVERS }, (_, at) => ({ name: `m${at}`, weightsMb: 60, adapterMb: 1, adapters: 0, loadSeconds: LOAD_SECONDS, diskSeconds: LOAD_SECONDS, memorySeconds: LOAD_SECONDS }))
    const serving: ModelServing = { ...SERVING, loadsPerSecond: RATE, models }
    const fleet = new BackendFleet()
    for (let at = 0; at < SERVERS; at++) {
      servers.add(`r${at}`)
      fleet.put({ id: `r${at}`, service: 's', address: `r${at}:1`, dataHall: 'z', slots: 8, draining: false, models: [], inMemory: [], onDisk: [] })
    }
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 }
    const table = new RouteTable({ version: 1, routes: [], services: [{ name: 's', maxConnections: 10, serving }], limits })
    const log = new NullDecisionLog()
    const holder = new ResidencyHolder({ clock, fleet, weights: servers, log, policy: DEFAULT_POLICY, readTable: () => table, readPermit: () => ({ holder: 'h', fence: 1 }), onChange: () => undefined })
    const counts = models.map(({ name }) => ({ service: 's', model: name, adapter: undefined, requests: 10, ended: 0, heldMs: 0, readTokens: 0, inHand: 10 }))
    holder.recordDemand('e1', { counts, spanMs: 1_000 })
    for (let tick = 0; tick < 20; tick++) {
      holder.plan()
      await clock.advance(150)
    }
    const ordered = new Set(servers.received.map((order) => order.server))
    assert.ok(ordered.size > 20, `${ordered.size} servers got orders within three seconds`)
  })
})
