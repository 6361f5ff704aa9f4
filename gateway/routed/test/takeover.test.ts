import assert from 'node:assert/strict'
import type http from 'node:http'
import { afterEach, beforeEach, describe, it } from 'node:test'
import { PulleystackError, Ran } from '@pulleystack/core.errors'
import type { RunOptions } from '../src/runRequest.js'
import { refuse, sendEvents, TakeoverFixture, type ServedRequest } from './TakeoverFixture.js'

const EVENTS = 10
const EVENTS_BEFORE = 4
/** Longer than three of the route's longest pauses, after which another server is looked for. */
const SILENCE_MS = 2_400
/** A server that has had the request for longer than this counts as running it. */
const LATE_REFUSAL_MS = 600
/** The longest time for which two servers may work on a request. */
const MAX_OVERLAP_MS = 400

function renderEvents (): string {
  return Array.from({ length: EVENTS }, (_, at) => `id: ${at + 1}\ndata: ${at + 1}\n\n`).join('')
}

// Guards against LOST: a silent server at work was given up, and the request ended, though no other attempt could begin.
describe('a server that is silent while it works on a request', () => {
  let fixture: TakeoverFixture

  /** Sends some events, is silent, and then sends the rest. */
  const pauseWithin = (served: ServedRequest): void => {
    const begin = served.after
    sendEvents(served, begin + EVENTS_BEFORE, { isWhole: false })
    fixture.clock.setTimer(SILENCE_MS, () => sendEvents({ ...served, after: begin + EVENTS_BEFORE }, EVENTS))
  }
  /** Is silent before its response. */
  const pauseBefore = (served: ServedRequest): void => {
    fixture.clock.setTimer(SILENCE_MS, () => sendEvents(served, EVENTS))
  }
  const refuseLate = (served: ServedRequest): void => {
    fixture.clock.setTimer(LATE_REFUSAL_MS, () => refuse(served))
  }
  const fail = ({ response }: ServedRequest): void => {
    response.writeHead(500).end('failed')
  }
  const checkWhole = async (): Promise<void> => {
    assert.equal(await fixture.run(), undefined)
    assert.equal(fixture.received, renderEvents())
    assert.equal(fixture.isEnded, true)
  }

  beforeEach(() => {
    fixture = new TakeoverFixture()
  })

  afterEach(() => fixture.stop())

  for (const [moment, script] of [['within its response', pauseWithin], ['before its response', pauseBefore]] as const) {
    describe(moment, () => {
      it('keeps the request where the only other server rejects it as not run', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', refuse)
        fixture.prepare()
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('keeps the request where every other server rejects it, in a stop', async () => {
        await fixture.addServer('a', script)
        for (const id of ['b', 'c', 'd']) await fixture.addServer(id, refuse)
        fixture.prepare()
        fixture.clock.setTimer(100, () => fixture.queue.close())
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('gets the request back where the other server rejects it late', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', refuseLate)
        fixture.prepare()
        await checkWhole()
        assert.equal(fixture.list('b').length, 1)
      })

      it('gets the request back where the other server rejects it late and the retry budget is used up', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', refuseLate)
        fixture.prepare({ budget: 2 })
        // Others take what is left once the server counts as running the request.
        fixture.clock.setTimer(0, function takeRest () {
          const [other] = fixture.list('b')
          const isAccepted = other !== undefined && fixture.clock.readTime() - other.at > MAX_OVERLAP_MS
          if (isAccepted) while (fixture.budget.take());
          else fixture.clock.setTimer(25, takeRest)
        })
        await checkWhole()
        assert.equal(fixture.list('a').length, 2)
      })

      it('keeps the request while the retry budget permits one further attempt only', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', refuseLate)
        fixture.prepare({ budget: 1 })
        await checkWhole()
        assert.equal(fixture.list('b').length, 0)
      })

      it('keeps the request where no connection to the other server can be opened', async () => {
        await fixture.addServer('a', script)
        const other: http.Server = await fixture.addServer('b', refuse)
        await new Promise((resolve) => other.close(resolve))
        fixture.prepare()
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('keeps the request where the other server fails', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', fail)
        fixture.prepare()
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('keeps the request where the owner of the other server\'s room denies it', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', refuse)
        fixture.prepare()
        let acquired = 0
        const acquire = (work: typeof fixture.work) => acquired++ === 0
          ? fixture.queue.acquire(work)
          : Promise.reject(new PulleystackError('NO_RUNNER', 'The owner denied the room', { ran: Ran.NO }))
        fixture.opts.slots = { acquire, acquireElsewhere: () => Promise.resolve(undefined) } as unknown as RunOptions['slots']
        Object.assign(fixture.queue, { acquireElsewhere: () => undefined })
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('keeps the request where what is suspected of it may not run a second time', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', refuse)
        fixture.prepare()
        let admitted = 0
        const admit = () => admitted++ === 0
          ? Promise.resolve({ isExclusive: false, release: () => undefined })
          : Promise.reject(new PulleystackError('REQUEST_ENDS_SERVERS', 'Servers crashed', { ran: Ran.NO }))
        Object.assign(fixture.opts.suspects, { admit })
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('keeps the request while others wait for its slot', async () => {
        await fixture.addServer('a', script)
        fixture.prepare()
        Object.assign(fixture.queue, { isSlotAwaited: () => true })
        await checkWhole()
        assert.equal(fixture.list('a').length, 1)
      })

      it('loses the request to a server that begins to respond, within the time for which both may work', async () => {
        await fixture.addServer('a', script)
        await fixture.addServer('b', (served) => fixture.clock.setTimer(1_000, () => sendEvents(served, EVENTS)))
        fixture.prepare()
        let overlapMs = 0
        let isOpen = true
        fixture.clock.setTimer(0, function watch () {
          const [first] = fixture.list('a')
          const [other] = fixture.list('b')
          isOpen = first !== undefined && !first.isClosed
          if (isOpen && other) overlapMs = fixture.clock.readTime() - other.at
          if (isOpen) fixture.clock.setTimer(10, watch)
        })
        await checkWhole()
        assert.equal(isOpen, false)
        assert.ok(overlapMs < MAX_OVERLAP_MS, `both servers worked for ${overlapMs} ms`)
        assert.equal(fixture.list('b')[0]?.after, script === pauseWithin ? EVENTS_BEFORE : 0)
      })

      // A request went on at its first server while the second one, which had begun as well, was given up.
      for (const [end, finish] of [['rejects', refuse], ['takes', (served: ServedRequest) => sendEvents(served, EVENTS)]] as const) {
        it(`is held back while another server has the request, which then ${end} it`, async () => {
          const begun = script === pauseWithin ? EVENTS_BEFORE : 0
          let first: ServedRequest | undefined
          await fixture.addServer('a', (served) => {
            first = served
            if (begun > 0) sendEvents(served, begun, { isWhole: false })
          })
          await fixture.addServer('b', (served) => {
            fixture.clock.setTimer(50, () => first && sendEvents({ ...first, after: begun }, EVENTS - 1, { isWhole: false }))
            fixture.clock.setTimer(150, () => finish(served))
            fixture.clock.setTimer(300, () => first && sendEvents({ ...first, after: EVENTS - 1 }, EVENTS))
          })
          fixture.prepare()
          await checkWhole()
          assert.equal(fixture.list('a').length, 1)
          assert.equal(fixture.list('a')[0]?.response.writableFinished, end === 'rejects')
        })
      }

      it('loses the request at once when its connection breaks while the other attempt begins', async () => {
        await fixture.addServer('a', (served) => {
          if (script === pauseWithin) sendEvents(served, EVENTS_BEFORE, { isWhole: false })
          fixture.clock.setTimer(SILENCE_MS, () => served.response.destroy())
        })
        await fixture.addServer('b', (served) => sendEvents(served, EVENTS))
        fixture.prepare()
        await checkWhole()
        assert.equal(fixture.list('b').length, 1)
      })
    })
  }

  it('keeps a stream whose only other server crashed when that one rejects it once more', async () => {
    let requests = 0
    await fixture.addServer('a', (served) => {
      sendEvents(served, EVENTS_BEFORE, { isWhole: false })
      fixture.clock.setTimer(100, () => served.response.destroy())
    })
    await fixture.addServer('b', (served) => requests++ === 0 ? refuse(served) : sendEvents(served, EVENTS))
    fixture.prepare()
    await checkWhole()
  })
})
