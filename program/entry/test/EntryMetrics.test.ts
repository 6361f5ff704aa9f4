import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { StoreEpochs } from '@pulleystack/backend.interfaces'
import { EntryMetrics } from '../src/EntryMetrics.js'

describe('the figures of an instance', () => {
  const state = { copies: [] as { prefix: string, ageMs: number }[], backlogBytes: 0, unsentFrames: 0 }
  const epochs = new StoreEpochs()
  const metrics = new EntryMetrics({
    epochs,
    fleet: { listAll: () => [] },
    mesh: { listLinked: () => [] },
    network: state,
    readConfigVersion: () => 7,
    readWaiting: () => 0,
    readSuspects: () => 0,
    listCopies: () => state.copies,
    readTimerDelayMs: () => 250,
  })

  it('show no age of a copy before there is one', async () => {
    assert.doesNotMatch(await metrics.render(), /^pulleystack_copy_age_seconds/m)
  })

  it('show how old each copy is', async () => {
    state.copies = [{ prefix: 'a/', ageMs: 1_500 }, { prefix: 'b/', ageMs: Infinity }]
    const text = await metrics.render()
    assert.match(text, /^pulleystack_copy_age_seconds\{prefix="a\/"\} 1\.5$/m)
    assert.match(text, /^pulleystack_copy_age_seconds\{prefix="b\/"\} \+Inf$/m)
  })

  it('show what waits to leave for peers and what was left out, as often as they are read', async () => {
    state.backlogBytes = 4_096
    state.unsentFrames = 3
    await metrics.render()
    const text = await metrics.render()
    assert.match(text, /^pulleystack_peer_backlog_bytes 4096$/m)
    assert.match(text, /^pulleystack_frames_not_sent_total 3$/m)
  })

  it('show the epoch of the store, and how often it came back from an older copy', async () => {
    for (const epoch of [4, 5, 5, 7]) epochs.record(epoch)
    const text = await metrics.render()
    assert.match(text, /^pulleystack_store_epoch 7$/m)
    assert.match(text, /^pulleystack_store_restores_total 2$/m)
  })

  it('show how late timers are', async () => {
    assert.match(await metrics.render(), /^pulleystack_timer_delay_seconds 0\.25$/m)
  })
})
