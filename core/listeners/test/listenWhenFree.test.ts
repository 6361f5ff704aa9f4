import assert from 'node:assert/strict'
import net, { type AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { ManualClock, SystemClock } from '@pulleystack/core.clock'
import { listenWhenFree } from '../src/index.js'

const HOST = '127.0.0.1'

// Guards against a process that ends at its start because a port is still in use.
describe('listening at an address that is in use', () => {
  let holder: net.Server
  let server: net.Server
  let port: number
  let errors: (string | undefined)[]
  const onError = ({ code }: NodeJS.ErrnoException): void => {
    errors.push(code)
  }

  beforeEach(async () => {
    errors = []
    server = net.createServer()
    holder = net.createServer()
    await new Promise<void>((resolve) => holder.listen(0, HOST, resolve))
    port = (holder.address() as AddressInfo).port
  })

  afterEach(() => {
    server.close()
    holder.close()
  })

  it('succeeds once the address is free, and reports it once', async () => {
    setTimeout(() => holder.close(), 350)
    await listenWhenFree(server, { host: HOST, port, clock: new SystemClock(), onError })
    assert.equal((server.address() as AddressInfo).port, port)
    assert.deepEqual(errors, ['EADDRINUSE'])
  })

  it('fails after a minute', async () => {
    const clock = new ManualClock()
    const listening = listenWhenFree(server, { host: HOST, port, clock, onError }).catch(({ code }: NodeJS.ErrnoException) => code)
    for (let seconds = 0; seconds < 61; seconds++) {
      await new Promise((resolve) => setTimeout(resolve, 2))
      await clock.advance(1_000)
    }
    assert.equal(await listening, 'EADDRINUSE')
  })

  it('fails at once when the address can never be used', async () => {
    await assert.rejects(listenWhenFree(server, { host: 'not an address', port, clock: new SystemClock(), onError }))
  })

  it('reports errors of the server after it listens', async () => {
    await listenWhenFree(server, { host: HOST, port: 0, clock: new SystemClock(), onError })
    server.emit('error', Object.assign(new Error('too many files'), { code: 'EMFILE' }))
    assert.deepEqual(errors, ['EMFILE'])
  })
})
