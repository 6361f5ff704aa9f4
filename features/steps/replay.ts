import assert from 'node:assert/strict'
import { Given, Then, When } from '@cucumber/cucumber'
import { checkOutcome, isComplete, readTrace, replayTrace, type ReplayResult, type Trace } from '@pulleystack/tools.replay'

interface ReplayWorld {
  trace: Trace
  result: ReplayResult
}

Given('the trace {string}', function (this: ReplayWorld, name: string) {
  this.trace = readTrace(name)
})

When('it is replayed', { timeout: 60_000 }, async function (this: ReplayWorld) {
  this.result = await replayTrace(this.trace)
})

Then('every request has exactly one answer, either complete or an error', function (this: ReplayWorld) {
  assert.equal(this.result.answers.length, this.trace.requests.length)
  for (const answer of this.result.answers) assert.ok(answer.error ?? isComplete(answer), `${answer.request.name} got ${answer.text}`)
})

Then('the outcome is the expected one', function (this: ReplayWorld) {
  assert.deepEqual(checkOutcome(this.result, this.trace.outcome), [])
})
