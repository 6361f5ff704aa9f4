import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { buildObjectKey, Kinds, type ConfigObject, type Kind } from '@pulleystack/config.objects'
import { ConfigIndex, ConfigReplica } from '@pulleystack/config.replica'
import { ManualClock } from '@pulleystack/core.clock'
import { listAllowedModels } from '@pulleystack/gateway.callers'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import { HysteresisPlanner, type PlanGroup } from '@pulleystack/placement.planner'
import { EligibleRunners } from '@pulleystack/routing.dispatch'
import { RunnerTable } from '@pulleystack/routing.runners'
import { buildAdapter, buildCaller, buildModel, buildQuota, buildService, checkProperty, createView } from '@pulleystack/tools.testing'
import fc from 'fast-check'
import { admitDeletion, admitObject, type AdmissionView } from '../src/index.js'

const MEBI = 1024 ** 2

/** A configuration that is changed through admission only. */
class ConfigFixture {
  readonly replica = new ConfigReplica()
  readonly index = new ConfigIndex(this.replica)
  readonly clock = new ManualClock()
  readonly table = new RunnerTable()
  readonly eligible: EligibleRunners
  private version = 0

  constructor () {
    const { view } = createView(this.clock, 'a', ['a'])
    const servers = Array.from({ length: 4 }, (_, i): ListedInstance => ({
      id: `e${i}`,
      role: InstanceRoles.ENGINE,
      address: `e${i}`,
      region: 'r',
      dataHall: `h${i % 2}`,
      leaving: false,
      labels: { size: i < 2 ? 'large' : 'small' },
      memoryBytes: 100 * MEBI,
    }))
    view.applyList(servers)
    this.table.applyServers(servers, 0)
    this.eligible = new EligibleRunners({ index: this.index, replica: this.replica, table: this.table, view })
    this.write(buildQuota('p', { guaranteedShare: 0.5, mayBorrow: true }))
    this.write(buildQuota('q', { guaranteedShare: 0.5, mayBorrow: true }))
    for (const partner of ['p', 'q']) {
      this.change(partner, buildService(partner, 'drafts', { backendServers: { zone: 'mine' } }))
      this.change(partner, buildModel(partner, 'm0'))
      this.change(partner, buildCaller(partner, 'c', `${partner}-key`))
      this.change(partner, { kind: Kinds.BACKEND_SERVER_LABELS, partner, name: 'e1', spec: { server: 'e1', serverLabels: { zone: 'mine' } } })
    }
  }

  private get view (): AdmissionView {
    return {
      findObject: this.index.findObject.bind(this.index),
      listObjects: this.index.listObjects.bind(this.index),
      readCapacity: () => ({ acceleratorBytes: Array.from({ length: 4 }, () => 100 * MEBI) }),
    }
  }

  change (operator: string, object: unknown): string {
    const admitted = admitObject(object, { name: 'o', partner: operator }, this.view)
    if (admitted.isOk()) this.write(admitted.value)
    return admitted.match(() => 'ok', (error) => error.code)
  }

  remove (operator: string, target: { kind: Kind, partner: string, name: string }): string {
    const admitted = admitDeletion(target, { name: 'o', partner: operator }, this.view)
    const key = buildObjectKey(target.kind, target.partner, target.name)
    if (admitted.isOk()) this.replica.applyEntry({ key, version: ++this.version, value: undefined })
    return admitted.match(() => 'ok', (error) => error.code)
  }

  /** Decisions for one partner: allowed models, eligible servers, admission of a test model, and unplaced models. */
  describeDecisions (partner: string): unknown {
    const caller = this.index.findObject(Kinds.CALLER, partner, 'c') as ConfigObject<'Caller'>
    const groups = this.index.listObjects(Kinds.MODEL, partner).map((model): PlanGroup => ({
      item: `${partner}/${model.name}`,
      partner,
      bytes: model.spec.bytes,
      load: 0.1,
      minCopies: 1,
      maxCopies: 9,
      weight: 1,
      movePenalty: 1,
    }))
    const trial = admitObject(buildModel(partner, 'trial', { bytes: 60 * MEBI, minCopies: 2 }), { name: 'o', partner }, this.view)
    return {
      models: listAllowedModels(this.index, caller),
      servers: this.eligible.list(partner, 'drafts').map((runner) => runner.id),
      admission: trial.match(() => 'ok', (error) => `${error.code} ${error.message}`),
      unplaced: this.listUnplaced(partner, groups),
    }
  }

  /** Lists the partner's models that the planner cannot place while the other partner's models fill the pool. */
  private listUnplaced (partner: string, own: readonly PlanGroup[]): string[] {
    const others = this.index.listObjects(Kinds.MODEL).filter((model) => model.partner !== partner).map((model): PlanGroup => ({
      item: `${model.partner}/${model.name}`,
      partner: model.partner,
      bytes: model.spec.bytes,
      load: 2,
      minCopies: 1,
      maxCopies: 9,
      weight: 1,
      movePenalty: 0,
    }))
    const servers = Array.from({ length: 4 }, (_, i) => ({ id: `e${i}`, dataHall: `h${i % 2}`, capacity: 100 * MEBI, reserved: 0 }))
    const quotas = { p: { share: 0.5, mayBorrow: true }, q: { share: 0.5, mayBorrow: true } }
    const plan = new HysteresisPlanner().plan({ groups: [...own, ...others], servers, copies: [], quotas, maxLoads: 99, maxMoves: 0 })
    return plan.unplaced.filter((item) => item.startsWith(`${partner}/`))
  }

  private write (value: ConfigObject): void {
    this.replica.applyEntry({ key: buildObjectKey(value.kind, value.partner, value.name), version: ++this.version, value })
  }
}

const objectName = fc.constantFrom('m0', 'm1', 'm2', 'drafts', 'c', 'e1', 'pool')
const change = fc.oneof(
  fc.record({ do: fc.constant('service' as const), name: fc.constantFrom('drafts', 'other'), partner: fc.constantFrom('p', 'q'), open: fc.boolean() }),
  fc.record({ do: fc.constant('model' as const), name: fc.constantFrom('m0', 'm1', 'm2'), partner: fc.constantFrom('p', 'q'), size: fc.integer({ min: 1, max: 120 }), minCopies: fc.integer({ min: 1, max: 4 }) }),
  fc.record({ do: fc.constant('adapter' as const), name: fc.constantFrom('a0', 'a1'), partner: fc.constantFrom('p', 'q'), size: fc.integer({ min: 1, max: 50 }) }),
  fc.record({ do: fc.constant('labels' as const), server: fc.constantFrom('e0', 'e1', 'e2', 'e3'), partner: fc.constantFrom('p', 'q'), zone: fc.constantFrom('mine', 'yours') }),
  fc.record({ do: fc.constant('caller' as const), partner: fc.constantFrom('p', 'q'), key: fc.constantFrom('p-key', 'q-key', 'new') }),
  fc.record({ do: fc.constant('quota' as const), partner: fc.constantFrom('p', 'q'), share: fc.double({ min: 0, max: 1, noNaN: true }) }),
  fc.record({ do: fc.constant('remove' as const), kind: fc.constantFrom(...Object.values(Kinds)), partner: fc.constantFrom('p', 'q'), name: objectName }),
)

type Change = typeof change extends fc.Arbitrary<infer T> ? T : never

function applyChange (fixture: ConfigFixture, operator: string, it: Change): string {
  const { partner } = it
  if (it.do === 'service') return fixture.change(operator, buildService(partner, it.name, it.open ? {} : { callers: { role: 'nobody' } }))
  if (it.do === 'model') return fixture.change(operator, buildModel(partner, it.name, { bytes: it.size * MEBI, minCopies: it.minCopies }))
  if (it.do === 'adapter') return fixture.change(operator, buildAdapter(partner, it.name, { model: 'm0', bytes: it.size * MEBI }))
  if (it.do === 'caller') return fixture.change(operator, buildCaller(partner, 'c2', it.key))
  if (it.do === 'quota') return fixture.change(operator, buildQuota(partner, { guaranteedShare: it.share, mayBorrow: true }))
  if (it.do === 'labels') {
    return fixture.change(operator, { kind: Kinds.BACKEND_SERVER_LABELS, partner, name: it.server, spec: { server: it.server, serverLabels: { zone: it.zone, size: 'large' } } })
  }
  return fixture.remove(operator, it)
}

describe('isolation between partners', () => {
  it('keeps all decisions for one partner unchanged after any changes by the other', async () => {
    await checkProperty([fc.array(change, { minLength: 1, maxLength: 25 })], (changes) => {
      const fixture = new ConfigFixture()
      const before = fixture.describeDecisions('p')
      for (const it of changes) applyChange(fixture, 'q', it)
      assert.deepEqual(fixture.describeDecisions('p'), before)
    }, 200)
  })

  it('rejects every write to another partner\'s objects', async () => {
    await checkProperty([fc.array(change, { minLength: 1, maxLength: 20 })], (changes) => {
      const fixture = new ConfigFixture()
      for (const it of changes) {
        if (it.partner === 'p') assert.notEqual(applyChange(fixture, 'q', it), 'ok')
      }
    }, 200)
  })

  it('does not reveal the owner of a key that is already in use', () => {
    const fixture = new ConfigFixture()
    const admitted = admitObject(buildCaller('q', 'c2', 'p-key'), { name: 'o', partner: 'q' }, {
      findObject: fixture.index.findObject.bind(fixture.index),
      listObjects: fixture.index.listObjects.bind(fixture.index),
      readCapacity: () => ({ acceleratorBytes: [] }),
    })
    const error = admitted._unsafeUnwrapErr()
    assert.equal(error.field, 'spec.keyHashes')
    assert.ok(!JSON.stringify(error.renderBody()).includes('"p"'))
  })
})

describe('admitObject', () => {
  it('rejects a model larger than any accelerator', () => {
    assert.equal(new ConfigFixture().change('p', buildModel('p', 'big', { bytes: 101 * MEBI })), 'CAPACITY_EXCEEDED')
  })

  it('rejects minimum copies beyond the partner\'s share', () => {
    const fixture = new ConfigFixture()
    assert.equal(fixture.change('p', buildModel('p', 'm1', { bytes: 60 * MEBI, minCopies: 3 })), 'ok')
    assert.equal(fixture.change('p', buildModel('p', 'm2', { bytes: 60 * MEBI })), 'CAPACITY_EXCEEDED')
  })

  it('rejects references to missing objects and deletion of referenced objects', () => {
    const fixture = new ConfigFixture()
    assert.equal(fixture.change('p', buildModel('p', 'm1', { service: 'nothing' })), 'REFERENCE_MISSING')
    assert.equal(fixture.remove('p', { kind: Kinds.SERVICE, partner: 'p', name: 'drafts' }), 'OBJECT_IN_USE')
  })
})
