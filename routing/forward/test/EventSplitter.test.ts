import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import fc from 'fast-check'
import { EventSplitter, MAX_PENDING_BYTES } from '../src/index.js'

describe('EventSplitter', () => {
  it('returns an event with its id once its blank line has been received', () => {
    const splitter = new EventSplitter()
    assert.deepEqual(splitter.push(Buffer.from('id: 7\ndata: a')), [])
    const [event] = splitter.push(Buffer.from('\n\nid: 8\nda'))
    assert.equal(event?.id, '7')
    assert.equal(event?.bytes.toString(), 'id: 7\ndata: a\n\n')
    assert.equal(splitter.pendingBytes, 'id: 8\nda'.length)
  })

  it('accepts CRLF line ends and events without an id', () => {
    const events = new EventSplitter().push(Buffer.from('data: a\r\n\r\nid:9\r\ndata: b\r\n\r\n'))
    assert.deepEqual(events.map((event) => event.id), [undefined, '9'])
  })

  it('accepts lines that end with a carriage return alone', () => {
    const events = new EventSplitter().push(Buffer.from('id: 1\rdata: a\r\rid: 2\rdata: b\r\rid: 3'))
    assert.deepEqual(events.map((event) => event.id), ['1', '2'])
  })

  describe('after its last chunk', () => {
    const endsBetweenEvents = (text: string): boolean => {
      const splitter = new EventSplitter()
      splitter.push(Buffer.from(text))
      return splitter.isBetweenEvents
    }

    it('is between events after a blank line, further blank lines and whole comments', () => {
      for (const text of ['', 'id: 1\n\n', 'id: 1\r\n\r\n', 'id: 1\r\r', 'id: 1\n\n\n', 'id: 1\n\n\r\n', 'id: 1\n\n: done\n']) assert.ok(endsBetweenEvents(text), JSON.stringify(text))
    })

    it('is inside an event whose blank line is not complete', () => {
      for (const text of ['id', 'id: 1\n', 'id: 1\r\n\r', 'id: 1\n\nid: 2\ndata: b', 'id: 1\n\n: do', 'id: 1\n\n: note\nid: 2\n']) assert.ok(!endsBetweenEvents(text), JSON.stringify(text))
    })
  })

  it('neither loses nor adds bytes for any split into chunks', () => {
    const line = fc.constantFrom('id: 1', 'data: x', 'data: ', ': note', '')
    const lineEnd = fc.constantFrom('\n', '\r\n', '\r')
    fc.assert(fc.property(fc.array(line, { maxLength: 40 }), lineEnd, fc.array(fc.nat(200), { maxLength: 10 }), (lines, end, cuts) => {
      const bytes = Buffer.from(lines.join(end))
      const splitter = new EventSplitter()
      const edges = [0, ...cuts.map((cut) => Math.min(cut, bytes.length)).sort((a, b) => a - b), bytes.length]
      const parts = edges.slice(1).flatMap((edge, at) => splitter.push(bytes.subarray(edges[at], edge)).map((event) => event.bytes))
      assert.deepEqual(parts.map(String), new EventSplitter().push(bytes).map((event) => event.bytes.toString()))
      assert.equal(Buffer.concat([...parts, splitter.takeRemainder()]).toString(), bytes.toString())
      for (const part of parts) assert.ok(part.toString().endsWith(end + end))
    }), { numRuns: 600, seed: 2 })
  })

  describe('with an event that does not end', () => {
    const piece = Buffer.alloc(16 << 10, 'a')

    // The bytes were kept without bound.
    it('rejects more bytes than the limit', () => {
      const splitter = new EventSplitter()
      for (let size = 0; size < MAX_PENDING_BYTES; size += piece.length) splitter.push(piece)
      assert.throws(() => splitter.push(piece), { code: 'ATTEMPT_FAILED_UNKNOWN', message: /33554432 bytes/ })
    })

    // All bytes so far were searched again at each chunk, which blocked the event loop.
    it('reads each chunk only once until the event ends', (context) => {
      const searched = context.mock.method(Buffer.prototype, 'indexOf')
      const splitter = new EventSplitter()
      for (let size = 0; size < MAX_PENDING_BYTES; size += piece.length) splitter.push(piece)
      const longest = Math.max(...searched.mock.calls.map((call: { this: unknown }) => (call.this as Buffer).length))
      assert.ok(longest <= piece.length + 2, `${longest}`)
      assert.equal(splitter.push(Buffer.from('\n\n'))[0]?.bytes.length, MAX_PENDING_BYTES + 2)
    })
  })
})
