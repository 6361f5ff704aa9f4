import assert from 'node:assert/strict'
import { Writable } from 'node:stream'
import { describe, it } from 'node:test'
import { DecisionKinds, JsonDecisionLog } from '../src/index.js'

/** A stream that accepts no data until it is released. */
class StalledReader extends Writable {
  readonly lines: string[] = []
  private isStalled = true
  private pending: (() => void) | undefined

  override _write (chunk: Buffer, _: string, done: () => void): void {
    this.lines.push(chunk.toString())
    if (this.isStalled) this.pending = done
    else done()
  }

  release (): void {
    this.isStalled = false
    this.pending?.()
  }
}

const ATTEMPT_FACTS = { backend: 'r1', send: 1, model: undefined, running: 0, prefillTokens: 0, keptTokens: 0, leftMs: 5, limitPerSecond: undefined }

describe('JsonDecisionLog', () => {
  it('writes one JSON line with the kind and its fields', () => {
    const output = new StalledReader()
    output.release()
    new JsonDecisionLog({ instance: 'e1', output }).record(DecisionKinds.ATTEMPT_SENT, { ...ATTEMPT_FACTS, request: 'q' })
    const line = JSON.parse(output.lines[0] ?? '') as Record<string, unknown>
    assert.deepEqual([line['name'], line['msg'], line['request'], line['leftMs']], ['e1', 'attempt-sent', 'q', 5])
  })

  it('drops lines beyond the buffer limit while the output is stalled, and logs their number afterwards', async () => {
    const output = new StalledReader()
    const log = new JsonDecisionLog({ instance: 'e1', output, maxBufferedBytes: 2_000 })
    for (let i = 0; i < 1_000; i++) log.record(DecisionKinds.ATTEMPT_SENT, { ...ATTEMPT_FACTS, request: `q${i}` })
    assert.ok(output.writableLength < 2_500)
    const { dropped } = log
    assert.ok(dropped > 900)
    output.release()
    await new Promise((resolve) => setImmediate(resolve))
    log.record(DecisionKinds.ATTEMPT_SENT, { ...ATTEMPT_FACTS, request: 'last' })
    await new Promise((resolve) => setImmediate(resolve))
    const report = output.lines.map((line) => JSON.parse(line) as { msg: string, dropped?: number }).find((line) => line.msg === 'lines-dropped')
    assert.equal(report?.dropped, dropped)
  })

  it('survives an error of the output', () => {
    const output = new StalledReader()
    const log = new JsonDecisionLog({ instance: 'e1', output })
    output.destroy(new Error('gone'))
    log.record(DecisionKinds.STOPPED, { cut: 0, cancelled: 0, ms: 1, open: 0 })
    assert.equal(log.dropped, 0)
  })
})
