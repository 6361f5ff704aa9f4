import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { beforeEach, describe, it } from 'node:test'
import type { WebSocket } from 'ws'
import { ManualClock } from '@pulleystack/core.clock'
import { defineChannel, type PeerIdentity } from '../src/index.js'
import { decodeFrame, encodeFrame, type Frame } from '../src/frames.js'
import { PeerLink } from '../src/PeerLink.js'
import { UnsentFrames, type UnsentReport } from '../src/UnsentFrames.js'

const FAR_TOO_MUCH_BYTES = 1 << 30
/** A fraction of a second of a link of 10 Mbit/s. */
const MUCH_BYTES = 300_000
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
    this.readyState = 3
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
  let unsent: number

  beforeEach(async () => {
    clock = new ManualClock()
    socket = new HeldSocket()
    unsent = 0
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
      onUnsent: () => unsent++,
      onCall: () => Promise.resolve(undefined),
    })
    await clock.advance(1_000)
    socket.take({ t: 'hello', identity: { ...IDENTITY, instance: 'b' }, nonce: 'n' })
    socket.take({ t: 'proof', proof: '' })
  })

  describe('to a peer that does not read', () => {
    it('tells how much waits to leave', () => {
      socket.bufferedAmount = 12
      assert.equal(link.backlogBytes, 12)
    })

    it('sends while little waits', () => {
      const before = socket.sent.length
      assert.equal(link.send(REPEATED, 1), true)
      assert.deepEqual([socket.sent.length - before, unsent], [1, 0])
    })

    it('leaves frames out, and says so, while too much waits', () => {
      const before = socket.sent.length
      socket.bufferedAmount = FAR_TOO_MUCH_BYTES
      assert.equal(link.send(REPEATED, 1), false)
      assert.equal(link.send(ONCE, 1), false)
      assert.deepEqual([socket.sent.length - before, unsent], [0, 2])
    })

    it('does not count what cannot be sent because the link is closed', () => {
      link.close()
      assert.equal(link.send(REPEATED, 1), false)
      assert.equal(unsent, 0)
    })

    it('leaves out messages that later ones make up for while much waits, and no others', () => {
      socket.bufferedAmount = MUCH_BYTES
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

describe('frames that were left out', () => {
  let clock: ManualClock
  let reports: UnsentReport[]
  let frames: UnsentFrames

  beforeEach(() => {
    clock = new ManualClock()
    reports = []
    frames = new UnsentFrames(clock, (report) => reports.push(report))
  })

  describe('within one second', () => {
    beforeEach(() => {
      for (let at = 1; at <= 5; at++) frames.note('b', at)
      frames.note('c', 9)
    })

    it('are counted at once', () => {
      assert.equal(frames.total, 6)
      assert.deepEqual(reports, [])
    })

    it('are reported once per peer', async () => {
      await clock.advance(5_000)
      assert.deepEqual(reports, [{ peer: 'b', frames: 5, backlogBytes: 5 }, { peer: 'c', frames: 1, backlogBytes: 9 }])
    })

    it('are reported at the end if that comes before', async () => {
      frames.stop()
      await clock.advance(5_000)
      assert.equal(reports.length, 2)
    })
  })

  it('are reported at most once a second over a longer time', async () => {
    for (let at = 0; at < 30; at++) {
      frames.note('b', 1)
      await clock.advance(100)
    }
    await clock.advance(1_000)
    assert.ok(reports.length <= 4, `${reports.length}`)
    assert.equal(reports.reduce((sum, report) => sum + report.frames, 0), 30)
  })
})
