import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { checkOutcome, isWhole, readTrace, replayTrace, type ReplayResult, type Trace } from '@pulleystack/tools.replay'

interface World {
  trace: Trace
  result: ReplayResult
}

Given('the trace {string}', function (this: World, name: string) {
  this.trace = readTrace(name)
})

When('it is replayed', { timeout: 60_000 }, async function (this: World) {
  this.result = await replayTrace(this.trace)
})

Then('every request has exactly one answer, whole or a truthful error', function (this: World) {
  assert.equal(this.result.answers.length, this.trace.requests.length)
  for (const answer of this.result.answers) assert.ok(answer.error ?? isWhole(answer), `${answer.request.name} got ${answer.text}`)
})

Then('the outcome is as stated', function (this: World) {
  assert.deepEqual(checkOutcome(this.result, this.trace.outcome), [])
})
