import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { HANDOVER, WEIGHTS } from '../src/channels.js'

describe('what the holder tells only once', () => {
  it('is sent whatever waits on a link', () => {
    for (const channel of [HANDOVER, WEIGHTS]) assert.equal(channel.isOnce, true, channel.name)
  })
})
