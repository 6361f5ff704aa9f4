import assert from 'node:assert/strict'
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import os from 'node:os'
import path from 'node:path'
import { after, before, describe, it } from 'node:test'
import { hashAccessKey } from '@pulleystack/core.hashing'
import { InstanceRoles } from '@pulleystack/backend.interfaces'
import { readExample, readStreamText, sendRequest, startStandIns, type DemoResponse, type StandIns } from '@pulleystack/program.demo'

const MAIN = path.join(import.meta.dirname, '../src/main.ts')
const DATA_HALLS = ['san-jose', 'cartago', 'heredia']
const DIRECTORY_LIFETIME_SECONDS = 1
const TIMEOUT_MS = 30_000

interface InstanceProcess {
  name: string
  address: string
  child: ChildProcess
  exited: Promise<number | null>
}

async function waitUntil (check: () => Promise<boolean>): Promise<void> {
  const deadline = Date.now() + TIMEOUT_MS
  while (!await check().catch(() => false)) {
    assert.ok(Date.now() < deadline, 'timed out waiting for a condition')
    await new Promise((resolve) => setTimeout(resolve, 50))
  }
}

describe('instances in separate processes', () => {
  let standIns: StandIns
  let dir: string
  const instances: InstanceProcess[] = []

  async function startInstanceProcess (name: string, dataHall: string): Promise<InstanceProcess> {
    const file = path.join(dir, `${name}.jsonc`)
    const operators = ['peritos', 'shorewatch', 'platform'].map((partner) => ({ name: partner, partner, keyHashes: [hashAccessKey(`op-${partner}`)] }))
    await writeFile(file, JSON.stringify({
      instance: name,
      region: 'central-plateau',
      dataHall,
      listen: { callers: '127.0.0.1:0', peers: '127.0.0.1:0' },
      peerKeyFile: path.join(dir, 'secret'),
      platform: { objectApi: standIns.objectApi, instanceList: standIns.instanceList, weightStore: standIns.weightStore },
      operators,
      directory: { lifetimeSeconds: DIRECTORY_LIFETIME_SECONDS },
      placement: { orderDelayMs: 300, intervalMs: 200, leaseMs: 3_000 },
      log: 'warn',
    }))
    const child = spawn(process.execPath, ['--import', 'tsx', MAIN, 'serve', '--settings', file], { stdio: ['ignore', 'pipe', 'inherit'] })
    const exited = new Promise<number | null>((resolve) => child.once('exit', resolve))
    const line = await new Promise<string>((resolve) => child.stdout?.once('data', (chunk: Buffer) => resolve(chunk.toString())))
    const { address, peerAddress } = JSON.parse(line) as { address: string, peerAddress: string }
    standIns.list.setInstance({ id: name, role: InstanceRoles.ENTRY, address, peerAddress, region: 'central-plateau', dataHall, leaving: false, labels: {} })
    const instance = { name, address, child, exited }
    instances.push(instance)
    await waitUntil(async () => (await sendRequest(address, { method: 'GET', path: '/readyz', key: '' })).status === 200)
    return instance
  }

  function requestDraft (address: string, work: string, tokens: number): Promise<DemoResponse> {
    const body = { model: 'appeal-large', stream: true, max_tokens: tokens, prompt: `Appeal ${work}` }
    return sendRequest(address, { method: 'POST', path: '/v1/completions', key: 'demo-peritos-firm', body })
  }

  function requestStamp (address: string, work: string, deadlineMs = 8_000): Promise<DemoResponse> {
    const headers = { 'idempotency-key': work, 'work': work, 'pulleystack-deadline-ms': String(deadlineMs) }
    return sendRequest(address, { method: 'POST', path: '/services/window/stamps', key: 'demo-peritos-notary', headers, body: {} })
  }

  before(async () => {
    dir = await mkdtemp(path.join(os.tmpdir(), 'pulleystack-'))
    await writeFile(path.join(dir, 'secret'), 'peer secret')
    standIns = await startStandIns()
    await Promise.all(DATA_HALLS.map((dataHall, i) => startInstanceProcess(`entry-${i + 1}`, dataHall)))
    const address = (instances[0] as InstanceProcess).address
    for (const partner of ['platform', 'peritos', 'shorewatch']) {
      const answer = await sendRequest(address, { method: 'POST', path: '/admin/apply', key: `op-${partner}`, body: { objects: readExample(`${partner}.jsonc`) } })
      assert.equal(answer.status, 200, answer.body)
    }
    await waitUntil(async () => (await requestDraft(address, 'first', 2)).status === 200)
  })

  after(async () => {
    for (const { child } of instances) child.kill('SIGKILL')
    await standIns.close()
    await rm(dir, { recursive: true, force: true })
  })

  it('serve both partners on every instance', async () => {
    for (const { address } of instances) {
      assert.equal(readStreamText((await requestDraft(address, 'parcel-1', 3)).body), 'parcel-1#0 parcel-1#1 parcel-1#2 ')
      assert.equal((await sendRequest(address, { method: 'GET', path: '/services/gauges/1', key: 'demo-shorewatch-emergency' })).status, 200)
    }
  })

  it('complete all streams in a planned stop and serve listed addresses until their lifetime ends', async () => {
    const leaving = await startInstanceProcess('entry-leaving', 'cartago')
    await waitUntil(async () => (await requestDraft(leaving.address, 'warm', 1)).status === 200)
    const longStreams = Array.from({ length: 4 }, (_, i) => requestDraft(leaving.address, `long-${i}`, 400))
    await new Promise((resolve) => setTimeout(resolve, 100))
    leaving.child.kill('SIGTERM')
    // A caller may use an address until the lifetime of its directory response ends.
    const stamps: DemoResponse[] = []
    const directoryExpiresAt = Date.now() + DIRECTORY_LIFETIME_SECONDS * 1000
    while (Date.now() < directoryExpiresAt) stamps.push(await requestStamp(leaving.address, `stop-${stamps.length}`))
    assert.ok(stamps.length > 0 && stamps.every((answer) => answer.status === 200))
    const answers = await Promise.all(longStreams)
    for (const [i, answer] of answers.entries()) assert.equal(readStreamText(answer.body)?.split(' ').length, 401, `stream ${i} was truncated`)
    assert.equal(await leaving.exited, 0)
    assert.ok([...standIns.plainServices.get('window-1')?.runs ?? []].every(([, runs]) => runs === 1))
    standIns.list.removeInstance('entry-leaving')
  })

  it('remove a frozen instance and accept it again when it resumes', async () => {
    const [first, , frozen] = instances as [InstanceProcess, InstanceProcess, InstanceProcess]
    const listInstances = async () => {
      const answer = await sendRequest(first.address, { method: 'GET', path: '/admin/status', key: 'op-platform' })
      return (JSON.parse(answer.body) as { instances: { instance: string }[] }).instances.map((it) => it.instance)
    }
    frozen.child.kill('SIGSTOP')
    await waitUntil(async () => !(await listInstances()).includes(frozen.name))
    assert.equal((await requestStamp(first.address, 'while-frozen')).status, 200)
    frozen.child.kill('SIGCONT')
    await waitUntil(async () => (await listInstances()).includes(frozen.name))
    assert.equal((await requestStamp(frozen.address, 'while-frozen')).status, 200)
    assert.equal(standIns.plainServices.get('window-1')?.runs.get('while-frozen'), 1)
  })

  it('never run a stamp twice when the instance that received it is killed', async () => {
    const window = standIns.plainServices.get('window-1')
    assert.ok(window)
    const [first, killed] = instances as [InstanceProcess, InstanceProcess, InstanceProcess]
    window.delayMs = 400
    const requests = Array.from({ length: 8 }, (_, i) => requestStamp(killed.address, `killed-${i}`).catch(() => undefined))
    await new Promise((resolve) => setTimeout(resolve, 250))
    killed.child.kill('SIGKILL')
    await Promise.all(requests)
    window.delayMs = 1
    const retries = await Promise.all(Array.from({ length: 8 }, (_, i) => requestStamp(first.address, `killed-${i}`)))
    for (let i = 0; i < 8; i++) {
      assert.ok((window.runs.get(`killed-${i}`) ?? 0) <= 1, `killed-${i} ran twice`)
      const answer = retries[i] as DemoResponse
      if (answer.status !== 200) assert.equal(answer.headers['pulleystack-ran'] === 'no' && (window.runs.get(`killed-${i}`) ?? 0) > 0, false)
    }
  })
})
