import assert from 'node:assert/strict'
import net, { type AddressInfo, type Socket } from 'node:net'
import { text } from 'node:stream/consumers'
import { after, before, describe, it } from 'node:test'
import { HttpServiceClient } from '../src/index.js'

const HALF_RESPONSE = 'HTTP/1.1 200 OK\r\npulleystack-attempt: a\r\nconnection: close\r\n\r\nhalf'

describe('HttpServiceClient', () => {
  describe('with a response that has neither a length nor chunks', () => {
    const client = new HttpServiceClient()
    let finish: (socket: Socket) => void = () => undefined
    let response = HALF_RESPONSE
    const server = net.createServer((socket) => {
      socket.on('error', () => undefined)
      socket.once('data', () => socket.write(response, () => finish(socket)))
    })

    before(() => new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve)))
    after(() => {
      client.close()
      server.close()
    })

    const readResponse = async (): Promise<string> => {
      const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
      const { body } = await client.call(address, { attempt: 'a', method: 'GET', path: '/', headers: {}, body: undefined }, new AbortController().signal)
      return Buffer.isBuffer(body) ? body.toString() : text(body)
    }

    // Half a body passed as complete, and was stored as the outcome of an Idempotency-Key.
    it('fails when the connection is reset, also together with the last data', async () => {
      const resets = [(socket: Socket) => socket.resetAndDestroy(), (socket: Socket) => setTimeout(() => socket.resetAndDestroy(), 20)]
      for (const reset of resets) {
        finish = reset
        await assert.rejects(readResponse(), /reset|ECONNRESET/)
      }
    })

    it('is whole when the connection is closed regularly', async () => {
      finish = (socket) => socket.end()
      assert.equal(await readResponse(), 'half')
    })

    // A server in trouble sends a status that is none, which passed for a response.
    it('fails when its status is invalid', async () => {
      finish = (socket) => socket.end()
      for (const status of ['000', '099', '999']) {
        response = HALF_RESPONSE.replace('200', status)
        await assert.rejects(readResponse(), /invalid status/)
      }
    })
  })
})
