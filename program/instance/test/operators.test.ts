import assert from 'node:assert/strict'
import { after, before, describe, it } from 'node:test'
import { DemoSystem, sendRequest, type DemoResponse } from '@pulleystack/program.demo'

const PERITOS = 'demo-operator-peritos'
const SHOREWATCH = 'demo-operator-shorewatch'
const PLATFORM = 'demo-operator-platform'

describe('operator interface of an entry instance', () => {
  let system: DemoSystem

  before(async () => {
    system = await DemoSystem.start({ instances: 3 })
    await system.applyExamples()
    await system.waitForModels()
  })

  after(() => system.close())

  function send (method: string, path: string, key: string, body?: unknown, at = 0): Promise<DemoResponse> {
    return sendRequest(system.addresses[at] as string, { method, path, key, body })
  }

  function apply (key: string, object: unknown, at = 0): Promise<DemoResponse> {
    return send('POST', '/admin/apply', key, { objects: [object] }, at)
  }

  function readName (answer: DemoResponse): string {
    return (JSON.parse(answer.body) as { error: { name: string } }).error.name
  }

  const plain = (partner: string, name: string, spec: object = {}) => ({ kind: 'Service', partner, name, spec: { type: 'plain', class: 'lookup', ...spec } })

  it('replicates a change to every instance', async () => {
    assert.equal((await apply(PERITOS, plain('peritos', 'fresh'))).status, 200)
    await system.waitUntil(async () => system.instances.every((instance) => instance.index.findObject('Service', 'peritos', 'fresh') !== undefined))
  })

  it('does not let an operator write, delete or read the other partner\'s objects', async () => {
    assert.equal(readName(await apply(SHOREWATCH, plain('peritos', 'intruder'))), 'NOT_OWNER')
    assert.equal(readName(await send('DELETE', '/admin/objects?kind=Caller&partner=peritos&name=notary-7', SHOREWATCH)), 'NOT_OWNER')
    const listed = await send('GET', '/admin/objects?partner=peritos', SHOREWATCH)
    assert.deepEqual((JSON.parse(listed.body) as { objects: unknown[] }).objects, [])
    assert.equal(readName(await send('GET', '/admin/explain?partner=peritos&caller=firm-1&model=appeal-large', SHOREWATCH)), 'ACCESS_DENIED')
  })

  it('does not let a partner change its own quota', async () => {
    const quota = { kind: 'Quota', partner: 'peritos', name: 'pool', spec: { guaranteedShare: 0.9, mayBorrow: true } }
    assert.equal(readName(await apply(PERITOS, quota)), 'NOT_OWNER')
    assert.equal(readName(await apply(PLATFORM, quota)), 'CAPACITY_EXCEEDED')
  })

  it('reports the invalid field of an object', async () => {
    const answer = await apply(PERITOS, plain('peritos', 'bad', { deadlineMs: 'soon' }))
    const { error } = JSON.parse(answer.body) as { error: { code: number, field: string } }
    assert.deepEqual([error.code, error.field], [4001, 'spec.deadlineMs'])
  })

  it('keeps fields set by another operation when a file is applied again', async () => {
    await apply(PERITOS, plain('peritos', 'shared', { deadlineMs: 1_000 }))
    await send('POST', '/admin/label', PERITOS, { kind: 'Service', partner: 'peritos', name: 'shared', labels: { tier: 'gold' } }, 1)
    await apply(PERITOS, plain('peritos', 'shared', { deadlineMs: 2_000 }), 2)
    const listed = await send('GET', '/admin/objects?kind=Service&partner=peritos&name=shared', PERITOS, undefined, 2)
    const [object] = (JSON.parse(listed.body) as { objects: { labels: unknown, spec: { deadlineMs: number } }[] }).objects
    assert.deepEqual([object?.labels, object?.spec.deadlineMs], [{ tier: 'gold' }, 2_000])
  })

  it('removes a field that was removed from the file', async () => {
    await apply(PERITOS, plain('peritos', 'shrunk', { deadlineMs: 1_000 }))
    await apply(PERITOS, plain('peritos', 'shrunk'))
    assert.equal(system.instances[0]?.index.findObject('Service', 'peritos', 'shrunk')?.spec.deadlineMs, undefined)
  })

  it('accepts exactly one of two concurrent changes to a field, and reports the conflicting field for the other', async () => {
    await apply(PERITOS, plain('peritos', 'raced', { deadlineMs: 1_000 }))
    system.standIns.store.faults.delayMs = 30
    const answers = await Promise.all([2_000, 3_000].map((deadlineMs, at) => apply(PERITOS, plain('peritos', 'raced', { deadlineMs }), at)))
    system.standIns.store.faults.delayMs = 0
    const statuses = answers.map((answer) => answer.status).sort()
    assert.deepEqual(statuses, [200, 409])
    const loser = answers.find((answer) => answer.status === 409) as DemoResponse
    assert.ok(loser.body.includes('spec.deadlineMs'), loser.body)
  })

  it('recognises its own write after a lost response', async () => {
    system.standIns.store.faults.loseAnswers = 1
    const answer = await apply(PERITOS, plain('peritos', 'unsure'))
    assert.equal(answer.status, 200)
    assert.equal((JSON.parse(answer.body) as { results: { action: string }[] }).results[0]?.action, 'created')
  })

  it('reports differences without applying them in a dry run', async () => {
    const answer = await send('POST', '/admin/apply', PERITOS, { objects: [plain('peritos', 'imagined')], dryRun: true })
    assert.equal((JSON.parse(answer.body) as { results: { action: string }[] }).results[0]?.action, 'created')
    assert.equal(system.instances[0]?.index.findObject('Service', 'peritos', 'imagined'), undefined)
  })

  it('explains where a request would run', async () => {
    const answer = await send('GET', '/admin/explain?caller=firm-1&model=appeal-large', PERITOS)
    const explanation = JSON.parse(answer.body) as { conclusion: string, servers: { why: string }[] }
    assert.match(explanation.conclusion, /would run at once on engine-/)
    assert.ok(explanation.servers.some((server) => server.why === 'does not have the model ready'))
  })

  it('merges the events of all instances and hides those of the other partner', async () => {
    await sendRequest(system.addresses[1] as string, { method: 'GET', path: '/services/gauges/1', key: 'demo-shorewatch-emergency' })
    const read = async (key: string) => (JSON.parse((await send('GET', '/admin/timeline?limit=5000', key)).body) as { events: { partner?: string, instance: string }[] }).events
    const all = await read(PLATFORM)
    assert.ok(new Set(all.map((event) => event.instance)).size === 3)
    assert.ok(all.some((event) => event.partner === 'shorewatch'))
    assert.ok(!(await read(PERITOS)).some((event) => event.partner === 'shorewatch'))
  })

  it('keeps serving while the object API is down, and rejects changes with STORE_UNAVAILABLE', async () => {
    system.standIns.store.faults.down = true
    const lookup = await sendRequest(system.addresses[0] as string, { method: 'GET', path: '/services/gauges/5', key: 'demo-shorewatch-emergency' })
    const change = await apply(PERITOS, plain('peritos', 'later'))
    system.standIns.store.faults.down = false
    assert.equal(lookup.status, 200)
    assert.equal(readName(change), 'STORE_UNAVAILABLE')
  })
})
