import assert from 'node:assert/strict'
import { once } from 'node:events'
import net, { type AddressInfo, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, it } from 'node:test'
import type { GenerateCall } from '@pulleystack/backend.interfaces'
import { HttpEngineClient } from '../src/index.js'

const REJECTION = 'HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n'

// Guards against a duplicate of a rejection that passes for the response to a later attempt, which the engine runs.
describe('HttpEngineClient with an engine that repeats a rejection', () => {
  let client: HttpEngineClient
  let server: net.Server
  let sockets: Socket[]
  let answered: number

  const accept = (socket: Socket): void => {
    sockets.push(socket)
    socket.on('error', () => undefined)
    let isDuplicateDue = false
    socket.on('data', (bytes) => {
      if (!bytes.toString('latin1').startsWith('POST')) return
      if (isDuplicateDue) socket.write(REJECTION)
      isDuplicateDue = true
      if (answered++ === 0) socket.write(REJECTION)
      else socket.end('HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n')
    })
  }

  beforeEach(async () => {
    client = new HttpEngineClient()
    sockets = []
    answered = 0
    server = net.createServer(accept)
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
  })

  afterEach(() => {
    client.close()
    sockets.forEach((socket) => socket.destroy())
    server.close()
  })

  it('takes no duplicate for the response to the next attempt', async () => {
    const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    const call = { attempt: 'a' } as GenerateCall
    const generate = (): Promise<unknown> => client.generate(address, call, () => undefined, new AbortController().signal)
    await assert.rejects(generate(), { ran: 'no' })
    await new Promise((resolve) => setTimeout(resolve, 20))
    await assert.rejects(generate(), { ran: 'unknown' })
  })
})
