import assert from 'node:assert/strict'
import { EventEmitter } from 'node:events'
import { beforeEach, describe, it } from 'node:test'
import type { WebSocket } from 'ws'
import { ManualClock } from '@pulleystack/core.clock'
import { encodeFrame } from '../src/frames.js'
import type { PeerIdentity } from '../src/index.js'
import { PeerLink } from '../src/PeerLink.js'
import { UnsentFrames, type UnsentReport } from '../src/UnsentFrames.js'

const FAR_TOO_MUCH_BYTES = 1 << 30
const IDENTITY: PeerIdentity = { instance: 'b', incarnation: 1, address: '', peerAddress: '', region: 'r', dataHall: 'h', leaving: false }

/** A connection to a peer that does not read. */
class FakeSocket extends EventEmitter {
  readonly OPEN = 1
  readyState = 1
  bufferedAmount = 0
  sent = 0

  send (): void {
    this.sent++
  }

  terminate (): void {
    this.readyState = 3
  }
}

describe('a link to a peer that does not read', () => {
  let socket: FakeSocket
  let link: PeerLink
  let unsent: number

  beforeEach(() => {
    socket = new FakeSocket()
    unsent = 0
    link = new PeerLink({
      socket: socket as unknown as WebSocket,
      dialled: true,
      clock: new ManualClock(),
      secret: undefined,
      readIdentity: () => ({ ...IDENTITY, instance: 'a' }),
      onOpen: () => undefined,
      onIdentity: () => undefined,
      onClose: () => undefined,
      onSend: () => undefined,
      onUnsent: () => unsent++,
      onCall: async () => undefined,
    })
    socket.emit('message', encodeFrame({ t: 'hello', identity: IDENTITY, nonce: 'n' }))
    socket.emit('message', encodeFrame({ t: 'proof', proof: '' }))
    socket.sent = 0
  })

  it('tells how much waits to leave', () => {
    socket.bufferedAmount = 12
    assert.equal(link.backlogBytes, 12)
  })

  it('sends while little waits', () => {
    assert.equal(link.send('c', 'x'), true)
    assert.deepEqual([socket.sent, unsent], [1, 0])
  })

  it('leaves frames out, and says so, while too much waits', () => {
    socket.bufferedAmount = FAR_TOO_MUCH_BYTES
    assert.equal(link.send('c', 'x'), false)
    assert.deepEqual([socket.sent, unsent], [0, 1])
  })

  it('does not count what cannot be sent because the link is closed', () => {
    link.close()
    assert.equal(link.send('c', 'x'), false)
    assert.equal(unsent, 0)
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
