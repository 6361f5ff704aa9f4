import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { beforeEach, describe, it } from 'node:test'
import type { WebSocket } from 'ws'
import { ManualClock } from '@pulleystack/core.clock'
import { defineChannel, type PeerIdentity } from '../src/index.js'
import { decodeFrame, encodeFrame, type Frame } from '../src/frames.js'
import { PeerLink } from '../src/PeerLink.js'

const REPEATED = defineChannel<number>('test.repeated')
const ONCE = defineChannel<number>('test.once', { isOnce: true })
const IDENTITY: PeerIdentity = { instance: 'a', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false }

/** A connection whose other end is the test. */
class HeldSocket extends EventEmitter {
  readonly OPEN = 1
  readyState = 1
  bufferedAmount = 0
  readonly sent: Frame[] = []

  send (bytes: Buffer): void {
    this.sent.push(decodeFrame(bytes) as Frame)
  }

  terminate (): void {
    this.emit('close')
  }

  take (frame: Frame): void {
    this.emit('message', encodeFrame(frame))
  }

  listSent (kind: Frame['t']): Frame[] {
    return this.sent.filter((frame) => frame.t === kind)
  }
}

describe('PeerLink', () => {
  let clock: ManualClock
  let socket: HeldSocket
  let link: PeerLink

  beforeEach(async () => {
    clock = new ManualClock()
    socket = new HeldSocket()
    const ignore = (): void => undefined
    link = new PeerLink({
      socket: socket as unknown as WebSocket,
      dialled: true,
      clock,
      secret: undefined,
      readIdentity: () => IDENTITY,
      onOpen: ignore,
      onIdentity: ignore,
      onClose: ignore,
      onSend: ignore,
      onCall: () => Promise.resolve(undefined),
    })
    await clock.advance(1_000)
    socket.take({ t: 'hello', identity: { ...IDENTITY, instance: 'b' }, nonce: 'n' })
    socket.take({ t: 'proof', proof: '' })
  })

  describe('while much waits to leave', () => {
    it('drops messages that later ones make up for, and no others', () => {
      socket.bufferedAmount = 300_000
      assert.equal(link.send(REPEATED, 1), false)
      assert.equal(link.send(ONCE, 1), true)
      link.sendBeat()
      assert.deepEqual(socket.sent.slice(-2).map((frame) => frame.t), ['send', 'beat'])
    })
  })

  describe('about the clocks', () => {
    it('sends a heartbeat as soon as it is open, and answers the first one at once', () => {
      assert.equal(socket.listSent('beat').length, 1)
      socket.take({ t: 'beat', at: 0, time: 70_000 })
      socket.take({ t: 'beat', at: 0, time: 70_001 })
      assert.deepEqual(socket.listSent('beat').slice(1), [{ t: 'beat', at: 1_000, time: 1_000, echo: 0, echoTime: 70_000, heldMs: 0 }])
    })

    it('knows the peer\'s time once it was echoed', async () => {
      assert.equal(link.convertTime(70_000), undefined)
      await clock.advance(200)
      socket.take({ t: 'beat', at: 0, time: 70_150, echo: 1_000, echoTime: 1_000, heldMs: 50 })
      // A fraction less than what the echo shows, for the drift of the clocks since.
      assert.ok(Math.abs((link.convertTime(70_150) ?? 0) - 1_050) < 1)
    })
  })
})
