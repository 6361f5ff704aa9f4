import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { beforeEach, describe, it } from 'node:test'
import type { WebSocket } from 'ws'
import { ManualClock } from '@pulleystack/core.clock'
import { defineChannel, type PeerIdentity } from '../src/index.js'
import { decodeFrame, encodeFrame, type Frame } from '../src/frames.js'
import { PeerLink } from '../src/PeerLink.js'
import { UnsentFrames, type UnsentReport } from '../src/UnsentFrames.js'

const HUGE_BACKLOG_BYTES = 1 << 30
/** Takes a fraction of a second on a 10 Mbit/s link. */
const LARGE_BACKLOG_BYTES = 300_000
const SUPERSEDED = defineChannel<number>('test.repeated')
const ONCE = defineChannel<number>('test.once', { isOneShot: true })
const IDENTITY: PeerIdentity = { instance: 'a', incarnation: 1, address: '', peerAddress: '', region: '', dataHall: '', leaving: false }

/** A connection controlled by the test. */
class FakeSocket extends EventEmitter {
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

  receive (frame: Frame): void {
    this.emit('message', encodeFrame(frame))
  }

  listSent (kind: Frame['t']): Frame[] {
    return this.sent.filter((frame) => frame.t === kind)
  }
}

describe('PeerLink', () => {
  let clock: ManualClock
  let socket: FakeSocket
  let link: PeerLink
  let unsent: number

  beforeEach(async () => {
    clock = new ManualClock()
    socket = new FakeSocket()
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
    socket.receive({ t: 'hello', identity: { ...IDENTITY, instance: 'b' }, nonce: 'n' })
    socket.receive({ t: 'proof', proof: '' })
  })

  describe('to a peer that does not read', () => {
    it('reports its backlog', () => {
      socket.bufferedAmount = 12
      assert.equal(link.backlogBytes, 12)
    })

    it('sends while the backlog is small', () => {
      const sentBefore = socket.sent.length
      assert.equal(link.send(SUPERSEDED, 1), true)
      assert.deepEqual([socket.sent.length - sentBefore, unsent], [1, 0])
    })

    it('does not send, and reports that, while the backlog is too large', () => {
      const sentBefore = socket.sent.length
      socket.bufferedAmount = HUGE_BACKLOG_BYTES
      assert.equal(link.send(SUPERSEDED, 1), false)
      assert.equal(link.send(ONCE, 1), false)
      assert.deepEqual([socket.sent.length - sentBefore, unsent], [0, 2])
    })

    it('does not report frames for a closed link', () => {
      link.close()
      assert.equal(link.send(SUPERSEDED, 1), false)
      assert.equal(unsent, 0)
    })

    it('skips only messages that later ones supersede while the backlog is large', () => {
      socket.bufferedAmount = LARGE_BACKLOG_BYTES
      assert.equal(link.send(SUPERSEDED, 1), false)
      assert.equal(link.send(ONCE, 1), true)
      link.sendHeartbeat()
      assert.deepEqual(socket.sent.slice(-2).map((frame) => frame.t), ['send', 'beat'])
    })
  })

  describe('clock synchronization', () => {
    it('sends a heartbeat on opening and answers the first one immediately', () => {
      assert.equal(socket.listSent('beat').length, 1)
      socket.receive({ t: 'beat', at: 0, time: 70_000 })
      socket.receive({ t: 'beat', at: 0, time: 70_001 })
      assert.deepEqual(socket.listSent('beat').slice(1), [{ t: 'beat', at: 1_000, time: 1_000, echo: 0, echoTime: 70_000, heldMs: 0 }])
    })

    it('converts times of the peer after the first echo', async () => {
      assert.equal(link.convertTime(70_000), undefined)
      await clock.advance(200)
      socket.receive({ t: 'beat', at: 0, time: 70_150, echo: 1_000, echoTime: 1_000, heldMs: 50 })
      // Slightly less than the echo shows, because of possible drift.
      assert.ok(Math.abs((link.convertTime(70_150) ?? 0) - 1_050) < 1)
    })
  })
})

describe('UnsentFrames', () => {
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
      for (let index = 1; index <= 5; index++) frames.record('b', index)
      frames.record('c', 9)
    })

    it('counts frames immediately', () => {
      assert.equal(frames.total, 6)
      assert.deepEqual(reports, [])
    })

    it('reports once per peer', async () => {
      await clock.advance(5_000)
      assert.deepEqual(reports, [{ peer: 'b', frames: 5, backlogBytes: 5 }, { peer: 'c', frames: 1, backlogBytes: 9 }])
    })

    it('reports when stopped', async () => {
      frames.stop()
      await clock.advance(5_000)
      assert.equal(reports.length, 2)
    })
  })

  it('reports at most once per second', async () => {
    for (let index = 0; index < 30; index++) {
      frames.record('b', 1)
      await clock.advance(100)
    }
    await clock.advance(1_000)
    assert.ok(reports.length <= 4, `${reports.length}`)
    assert.equal(reports.reduce((sum, report) => sum + report.frames, 0), 30)
  })
})
