import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { DemoSystem, sendRequest, type DemoResponse } from '@pulleystack/program.demo'

const HOST = 'window.peritos.example'
const NOTARY = 'demo-peritos-notary'
const EMERGENCY = 'demo-shorewatch-emergency'

describe('a routed request in a system without the platform', () => {
  let system: DemoSystem

  const send = (opts: { method?: string, path: string, key?: string, host?: string, headers?: Record<string, string> }): Promise<DemoResponse> =>
    sendRequest(system.addresses[0] as string, { method: opts.method ?? 'GET', path: opts.path, key: opts.key ?? NOTARY, headers: { host: opts.host ?? HOST, ...opts.headers } })
  const apply = (partner: string, objects: unknown[]): Promise<DemoResponse> =>
    sendRequest(system.addresses[0] as string, { method: 'POST', path: '/admin/apply', key: `demo-operator-${partner}`, body: { objects } })

  before(async () => {
    system = await DemoSystem.start({ instances: 2 })
    await system.applyExamples()
    await system.waitUntil(async () => (await send({ path: '/plots/1' })).status === 200)
  })

  after(() => system.close())

  it('reaches the service of its route with method, path and query unchanged', async () => {
    const answer = await send({ method: 'POST', path: '/filings/7?copy=2', headers: { work: 'w-1' } })
    assert.equal(answer.status, 200)
    assert.deepEqual(JSON.parse(answer.body), { path: '/filings/7?copy=2', method: 'POST', work: 'w-1', length: 0 })
  })

  it('is served by the caller interface if no route matches', async () => {
    assert.equal((await send({ path: '/none' })).status, 404)
    assert.equal((await send({ path: '/services/window/plots/1', host: 'other.example' })).status, 200)
  })

  it('requires a key that may use the service', async () => {
    assert.equal((await send({ path: '/plots/1', key: 'wrong' })).status, 401)
    assert.equal((await send({ path: '/plots/1', key: EMERGENCY })).status, 404)
  })

  it('is explained only to operators of its partner and of the platform', async () => {
    const explain = (partner: string, path: string): Promise<DemoResponse> =>
      sendRequest(system.addresses[0] as string, { method: 'GET', path: `/admin/explain-route?host=${HOST}&path=${path}`, key: `demo-operator-${partner}` })
    const answer = await explain('peritos', '/plots/1')
    assert.equal(answer.status, 200)
    const explained = JSON.parse(answer.body) as { route: string, conclusion: string, targets: { share: number, servers: { why: string }[] }[] }
    assert.match(explained.route, /^peritos\//)
    assert.equal(explained.conclusion, 'would run at once')
    assert.equal(explained.targets[0]?.share, 1)
    assert.ok((explained.targets[0]?.servers.length ?? 0) > 0)
    assert.ok(explained.targets[0]?.servers.every((server) => server.why === 'can take it now'))
    assert.equal((await explain('peritos', '/none')).status, 404)
    assert.equal((await explain('shorewatch', '/plots/1')).status, 404)
    assert.equal((await explain('platform', '/plots/1')).status, 200)
  })

  it('is rejected by admission for another partner\'s host or an unknown service', async () => {
    const route = (host: string, service: string): unknown => ({
      kind: 'Route',
      partner: 'shorewatch',
      name: 'r',
      spec: { host, pathPrefix: '/a/', targets: [{ service, weight: 1 }], repeat: 'once', timeoutMs: 1000 },
    })
    const foreign = await apply('shorewatch', [route(HOST, 'gauges')])
    assert.equal(foreign.status, 400)
    assert.match(foreign.body, /spec\.host/)
    const missing = await apply('shorewatch', [route('own.example', 'nothing')])
    assert.equal(missing.status, 400)
    assert.match(missing.body, /spec\.targets/)
  })

  it('follows a change to its route', async () => {
    const changed = { kind: 'Route', partner: 'shorewatch', name: 'gauges', spec: { host: 'g.example', pathPrefix: '/s/', targets: [{ service: 'gauges', weight: 1 }], repeat: 'repeatable', timeoutMs: 1000 } }
    assert.equal((await apply('shorewatch', [changed])).status, 200)
    await system.waitUntil(async () => (await send({ path: '/s/1', host: 'g.example', key: EMERGENCY })).status === 200)
  })
})
