import assert from 'node:assert/strict'
import type http from 'node:http'
import { beforeEach, describe, it } from 'node:test'
import type { RoutedWork } from '../src/RoutedWork.js'
import { UnfinishedRequest } from '../src/UnfinishedRequest.js'

const WORK = { route: { name: 'chat' }, stream: { events: 3 } } as unknown as RoutedWork

describe('UnfinishedRequest', () => {
  let response: { headersSent: boolean, writableEnded: boolean, writableNeedDrain: boolean }
  let isWaiting: boolean
  let unfinished: UnfinishedRequest

  beforeEach(() => {
    response = { headersSent: false, writableEnded: false, writableNeedDrain: false }
    isWaiting = false
    unfinished = new UnfinishedRequest({ request: 'r1', response: response as http.ServerResponse, arrivedAt: 1_000, isWaiting: () => isWaiting })
  })

  it('is in state reading, without a route, until its body has been read', () => {
    assert.deepEqual(unfinished.describe(1_250), { request: 'r1', route: undefined, ageMs: 250, state: 'reading', hasBegun: false, events: 0 })
  })

  it('is answered once a response has been written, even before its body has been read', () => {
    response.writableEnded = true
    assert.equal(unfinished.describe(1_000).state, 'answered')
  })

  describe('whose body has been read', () => {
    beforeEach(() => {
      unfinished.work = WORK
    })

    it('is sent while there is no response', () => {
      assert.equal(unfinished.describe(1_000).state, 'sent')
    })

    it('is streaming once its response has begun', () => {
      response.headersSent = true
      assert.deepEqual(unfinished.describe(1_100), { request: 'r1', route: 'chat', ageMs: 100, state: 'streaming', hasBegun: true, events: 3 })
    })

    it('is paused while its client does not read', () => {
      Object.assign(response, { headersSent: true, writableNeedDrain: true })
      assert.equal(unfinished.describe(1_000).state, 'paused')
    })

    it('is waiting while it has no slot, also between two attempts', () => {
      isWaiting = true
      response.headersSent = true
      assert.deepEqual(unfinished.describe(1_000), { request: 'r1', route: 'chat', ageMs: 0, state: 'waiting', hasBegun: true, events: 3 })
    })
  })
})
