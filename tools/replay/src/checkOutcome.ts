import { Ran } from '@pulleystack/core.errors'
import type { ReplayedAnswer, ReplayResult } from './replayTrace.js'
import type { TraceOutcome } from './Trace.js'

/** Compares a replay with the expected outcome and returns a message for each mismatch. */
export function checkOutcome (result: ReplayResult, outcome: TraceOutcome): string[] {
  const mismatches: string[] = []
  const complete = result.answers.filter(isComplete)
  const expect = (what: string, actual: number | boolean, expected: number | boolean | undefined): void => {
    if (expected !== undefined && actual !== expected) mismatches.push(`${what} is ${actual}, not ${expected}`)
  }
  expect('complete', complete.length, outcome.complete)
  if (complete.length < (outcome.completeAtLeast ?? 0)) mismatches.push(`only ${complete.length} answers are complete`)
  for (const [kind, expected] of Object.entries(outcome.completeOf ?? {})) expect(`complete ${kind}`, complete.filter((it) => hasKind(it, kind)).length, expected)
  for (const [kind, expected] of Object.entries(outcome.lateOf ?? {})) expect(`overdue ${kind}`, countOverdue(result, kind), expected)
  for (const [kind, limitMs] of Object.entries(outcome.worstMsOf ?? {})) {
    const slowestMs = Math.max(...complete.filter((it) => hasKind(it, kind)).map((it) => it.durationMs))
    if (slowestMs > limitMs) mismatches.push(`slowest ${kind} took ${slowestMs} ms, more than ${limitMs}`)
  }
  expect('started more than once', countRepeatedStarts(result), outcome.ranTwice)
  for (const name of outcome.ranAtMostOnce ?? []) {
    if ((result.startCounts.get(name) ?? 0) > 1) mismatches.push(`${name} ran ${result.startCounts.get(name)} times`)
  }
  for (const name of outcome.ranExactlyOnce ?? []) expect(`runs of ${name}`, result.startCounts.get(name) ?? 0, 1)
  expect('same answer to repeated requests', haveSameAnswers(complete), outcome.sameAnswer)
  expect('requests falsely reported as not run', countFalseNotRun(result), outcome.untruthful)
  expect('requests without an answer', result.requestCount - result.answers.length, outcome.silent)
  return mismatches
}

/** Whether the answer holds all tokens of its own request, in order. */
export function isComplete (answer: ReplayedAnswer): boolean {
  const { request } = answer
  return answer.text === Array.from({ length: request.tokens }, (_, i) => `${request.name}#${i} `).join('')
}

function hasKind (answer: ReplayedAnswer, kind: string): boolean {
  return answer.request.name.startsWith(`${kind}-`)
}

function countOverdue (result: ReplayResult, kind: string): number {
  return result.answers.filter((it) => hasKind(it, kind) && (!isComplete(it) || it.durationMs > it.request.deadlineMs)).length
}

// Counts only keyed requests: repeatable ones may start again after a fault.
function countRepeatedStarts (result: ReplayResult): number {
  const keyedNames = new Set(result.answers.filter((it) => it.request.key !== undefined).map((it) => it.request.name))
  return [...result.startCounts].filter(([name, count]) => count > 1 && keyedNames.has(name)).length
}

function haveSameAnswers (answers: readonly ReplayedAnswer[]): boolean {
  const texts = new Map<string, string>()
  return answers.every((it) => {
    const first = texts.get(it.request.name) ?? it.text
    texts.set(it.request.name, first ?? '')
    return first === it.text
  })
}

function countFalseNotRun (result: ReplayResult): number {
  return result.answers.filter((it) => it.error?.ran === Ran.NO && hasRunUnreported(result, it)).length
}

// Requests of the same name share their work: "not run" is false only if every other one was told the same.
function hasRunUnreported (result: ReplayResult, answer: ReplayedAnswer): boolean {
  const others = result.answers.filter((it) => it.request.name === answer.request.name && it !== answer)
  return (result.startCounts.get(answer.request.name) ?? 0) > 0 && others.every((it) => it.error?.ran === Ran.NO)
}
