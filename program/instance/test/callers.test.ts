import assert from 'node:assert/strict'
import net from 'node:net'
import { after, before, describe, it } from 'node:test'
import { RandomSource } from '@pulleystack/core.clock'
import { DemoSystem, readStreamText, sendRequest, type DemoResponse } from '@pulleystack/program.demo'
import type { FakeEngine } from '@pulleystack/emulator.stand-ins'

const FIRM = 'demo-peritos-firm'
const NOTARY = 'demo-peritos-notary'
const EMERGENCY = 'demo-shorewatch-emergency'

interface ErrorBody {
  error: { code: number, name: string, ran: string, field?: string }
}

function readError (answer: DemoResponse): ErrorBody['error'] {
  return (JSON.parse(answer.body) as ErrorBody).error
}

/** Sends raw bytes; resolves with everything received until the connection closes. */
function sendRaw (address: string, bytes: Buffer | string): Promise<string> {
  const [host, port] = address.split(':') as [string, string]
  return new Promise((resolve) => {
    const socket = net.connect(Number(port), host, () => socket.end(bytes))
    let received = ''
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1')
    })
    socket.on('error', () => resolve(received))
    socket.on('close', () => resolve(received))
  })
}

describe('caller interface of an entry instance', () => {
  let system: DemoSystem
  let address: string

  before(async () => {
    system = await DemoSystem.start({ instances: 3, change: { limits: { bodyBytes: 100_000, requestTimeoutMs: 30_000 } } })
    await system.applyExamples()
    await system.waitForModels()
    address = system.addresses[0] as string
  })

  after(() => system.close())

  function requestCompletion (body: unknown, opts: { key?: string, path?: string, headers?: Record<string, string>, to?: string } = {}): Promise<DemoResponse> {
    return sendRequest(opts.to ?? address, { method: 'POST', path: opts.path ?? '/v1/completions', key: opts.key ?? FIRM, headers: opts.headers, body })
  }

  describe('models', () => {
    it('streams a draft with a proper end', async () => {
      const answer = await requestCompletion({ model: 'appeal-large', stream: true, max_tokens: 3, messages: [{ role: 'user', content: 'for parcel-9' }] }, { path: '/v1/chat/completions' })
      assert.equal(readStreamText(answer.body), 'parcel-9#0 parcel-9#1 parcel-9#2 ')
    })

    it('serves an adapter under its own name', async () => {
      const answer = await requestCompletion({ model: 'appeal-cartago', max_tokens: 2, prompt: 'x' })
      assert.equal(answer.status, 200)
    })

    it('lists only models that the caller may use', async () => {
      const answer = await sendRequest(address, { method: 'GET', path: '/v1/models', key: EMERGENCY })
      const names = (JSON.parse(answer.body) as { data: { id: string }[] }).data.map((it) => it.id)
      assert.deepEqual(names, ['warning-superior', 'warning-text'])
    })

    it('treats another partner\'s model like one that does not exist', async () => {
      const [foreign, missing] = await Promise.all([requestCompletion({ model: 'surge-briefing', prompt: 'x' }), requestCompletion({ model: 'nothing', prompt: 'x' })])
      assert.deepEqual([foreign.status, readError(foreign).code], [missing.status, readError(missing).code])
      assert.equal(readError(foreign).ran, 'no')
    })

    it('resumes at the offset when an engine breaks a stream', async () => {
      const engines = system.standIns.engines
      engines.forEach((engine) => Object.assign(engine.breakStreams, { count: 1, afterTokens: 2 }))
      const answer = await requestCompletion({ model: 'zoning-review', max_tokens: 6, prompt: 'x y-1' })
      engines.forEach((engine) => Object.assign(engine.breakStreams, { count: 0 }))
      assert.ok(answer.body.includes('y-1#0 y-1#1 y-1#2 y-1#3 y-1#4 y-1#5 '), answer.body)
    })

    it('cancels the engine\'s work when the caller disconnects', async () => {
      const count = (engine: FakeEngine): number => engine.cancelled.length
      const before = system.standIns.engines.reduce((sum, engine) => sum + count(engine), 0)
      const [host, port] = address.split(':') as [string, string]
      const body = JSON.stringify({ model: 'appeal-large', stream: true, max_tokens: 500, prompt: 'long' })
      const socket = net.connect(Number(port), host, () => {
        socket.write(`POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${FIRM}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
      })
      await new Promise((resolve) => socket.once('data', resolve))
      socket.destroy()
      await system.waitUntil(async () => system.standIns.engines.reduce((sum, engine) => sum + count(engine), 0) > before)
    })
  })

  describe('plain services', () => {
    it('forwards any method and a large body', async () => {
      const body = { text: 'x'.repeat(400_000) }
      const answer = await sendRequest(address, { method: 'PUT', path: '/services/window/deeds?a=1', key: NOTARY, headers: { 'idempotency-key': 'k-put' }, body: { n: 1 } })
      assert.equal(answer.status, 200)
      assert.ok(answer.body.includes('/deeds?a=1'))
      const large = await sendRequest(address, { method: 'PATCH', path: '/services/gauges/x', key: EMERGENCY, body })
      assert.equal((JSON.parse(large.body) as { length: number }).length, JSON.stringify(body).length)
    })

    it('requires an idempotency key where work may not be repeated', async () => {
      const answer = await sendRequest(address, { method: 'POST', path: '/services/window/stamps', key: NOTARY, body: {} })
      assert.equal(readError(answer).name, 'KEY_MISSING')
    })

    it('runs work once for requests under one key at several instances, with the same response for each', async () => {
      const opts = { method: 'POST', path: '/services/window/stamps', key: NOTARY, headers: { 'idempotency-key': 'twice', 'work': 'twice' }, body: {} }
      const answers = await Promise.all(system.addresses.map((it) => sendRequest(it, opts)))
      assert.deepEqual(new Set(answers.map((it) => it.body)).size, 1)
      assert.equal(system.standIns.plainServices.get('window-1')?.runs.get('twice'), 1)
    })

    it('does not run work again when the response was lost', async () => {
      const window = system.standIns.plainServices.get('window-1')
      assert.ok(window)
      window.loseAnswers = 1
      const opts = { method: 'POST', path: '/services/window/objections', key: NOTARY, headers: { 'idempotency-key': 'lost', 'work': 'lost' }, body: {} }
      const first = await sendRequest(address, opts)
      assert.equal(readError(first).ran, 'unknown')
      const second = await sendRequest(system.addresses[1] as string, { ...opts, headers: { ...opts.headers, 'pulleystack-deadline-ms': '600' } })
      assert.equal(readError(second).ran, 'unknown')
      assert.equal(window.runs.get('lost'), 1)
    })

    it('drops a response that belongs to another attempt', async () => {
      const gauge = system.standIns.plainServices.get('gauge-1')
      assert.ok(gauge)
      gauge.mislabelAnswers = 1
      const answer = await sendRequest(address, { method: 'GET', path: '/services/gauges/status/77', key: EMERGENCY })
      assert.equal(answer.status, 200)
      assert.ok(answer.body.includes('/status/77'))
    })

    it('retries a lookup that was rejected before it ran', async () => {
      const gauge = system.standIns.plainServices.get('gauge-1')
      assert.ok(gauge)
      gauge.rejectCalls = 1
      const answer = await sendRequest(address, { method: 'GET', path: '/services/gauges/status/78', key: EMERGENCY })
      assert.equal(answer.status, 200)
    })
  })

  describe('the directory', () => {
    it('lists instances that serve the service, nearest first, with a lifetime', async () => {
      const answer = await sendRequest(address, { method: 'GET', path: '/v1/addresses?service=gauges&dataHall=cartago', key: EMERGENCY })
      const directory = JSON.parse(answer.body) as { addresses: { address: string, dataHall: string }[], lifetimeSeconds: number }
      assert.equal(directory.addresses.length, 3)
      assert.equal(directory.addresses[0]?.dataHall, 'cartago')
      assert.equal(directory.lifetimeSeconds, 10)
    })
  })

  describe('invalid requests', () => {
    const cases: { name: string, code: string, send: () => Promise<DemoResponse> }[] = [
      { name: 'a wrong key', code: 'ACCESS_KEY_WRONG', send: () => requestCompletion({ model: 'appeal-large', prompt: 'x' }, { key: 'wrong' }) },
      { name: 'a body that is not a JSON object', code: 'BAD_BODY', send: () => requestCompletion('text') },
      { name: 'a missing field', code: 'BAD_BODY', send: () => requestCompletion({ model: 'appeal-large' }) },
      { name: 'a body that is too large', code: 'BODY_TOO_LARGE', send: () => requestCompletion({ model: 'appeal-large', prompt: 'x'.repeat(200_000) }) },
      { name: 'a deadline that is not a number', code: 'BAD_HEADER', send: () => requestCompletion({ model: 'appeal-large', prompt: 'x' }, { headers: { 'pulleystack-deadline-ms': 'soon' } }) },
      { name: 'a service that the caller may not use', code: 'SERVICE_UNKNOWN', send: () => sendRequest(address, { method: 'GET', path: '/services/gauges/1', key: NOTARY }) },
      { name: 'an unknown path', code: 'NOT_FOUND', send: () => sendRequest(address, { method: 'GET', path: '/v2/x', key: FIRM }) },
      { name: 'a method that the path does not support', code: 'METHOD_NOT_ALLOWED', send: () => sendRequest(address, { method: 'DELETE', path: '/v1/models', key: FIRM }) },
      { name: 'a name that cannot be decoded', code: 'NOT_FOUND', send: () => sendRequest(address, { method: 'GET', path: '/services/%E0%A4%A/1', key: FIRM }) },
    ]
    for (const testCase of cases) {
      it(`rejects ${testCase.name} with ${testCase.code}, not run`, async () => {
        const error = readError(await testCase.send())
        assert.deepEqual([error.name, error.ran], [testCase.code, 'no'])
      })
    }

    it('survives random bytes on its listener', async () => {
      const random = new RandomSource(99)
      const valid = `POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer ${FIRM}\r\ncontent-length: 20\r\n\r\n{"model":"x","a":[]}`
      const mutate = (text: string): Buffer => {
        const bytes = Buffer.from(text, 'latin1')
        for (let i = 0; i < 1 + random.readBelow(8); i++) bytes[random.readBelow(bytes.length)] = random.readBelow(256)
        return bytes.subarray(0, 1 + random.readBelow(bytes.length))
      }
      const buildNoise = (): Buffer => Buffer.from(Array.from({ length: random.readBelow(300) }, () => random.readBelow(256)))
      const inputs = Array.from({ length: 300 }, (_, i) => i % 3 === 0 ? buildNoise() : mutate(valid))
      const received = await Promise.all(inputs.map((input) => sendRaw(address, input)))
      assert.ok(received.every((text) => text === '' || text.startsWith('HTTP/1.1 4')), received.find((text) => text !== '' && !text.startsWith('HTTP/1.1 4')))
      assert.equal((await sendRequest(address, { method: 'GET', path: '/healthz', key: '' })).status, 200)
    })

    it('survives random frames on its peer listener', async () => {
      const random = new RandomSource(98)
      const peer = system.instances[0]?.peerAddress as string
      const upgrade = 'GET / HTTP/1.1\r\nhost: x\r\nupgrade: websocket\r\nconnection: upgrade\r\nsec-websocket-key: dGhlIHNhbXBsZSBub25jZQ==\r\nsec-websocket-version: 13\r\n\r\n'
      const inputs = Array.from({ length: 100 }, () => {
        const frames = Buffer.from(Array.from({ length: random.readBelow(200) }, () => random.readBelow(256)))
        return Buffer.concat([Buffer.from(upgrade), frames])
      })
      await Promise.all(inputs.map((input) => sendRaw(peer, input)))
      assert.equal((await sendRequest(address, { method: 'GET', path: '/readyz', key: '' })).status, 200)
    })
  })
})
