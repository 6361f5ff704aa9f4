import { Ran } from '@pulleystack/core.errors'
import type { ReplayedAnswer, ReplayResult } from './replayTrace.js'
import type { TraceOutcome } from './Trace.js'

/** Compares a replay with the stated outcome; gives what differs, in words. */
export function checkOutcome (result: ReplayResult, outcome: TraceOutcome): string[] {
  const problems: string[] = []
  const complete = result.answers.filter(isWhole)
  const expect = (what: string, actual: number | boolean, wanted: number | boolean | undefined): void => {
    if (wanted !== undefined && actual !== wanted) problems.push(`${what} is ${actual}, not ${wanted}`)
  }
  expect('complete', complete.length, outcome.complete)
  if (complete.length < (outcome.completeAtLeast ?? 0)) problems.push(`only ${complete.length} complete`)
  for (const [kind, wanted] of Object.entries(outcome.completeOf ?? {})) expect(`complete ${kind}`, complete.filter((it) => isKind(it, kind)).length, wanted)
  for (const [kind, wanted] of Object.entries(outcome.lateOf ?? {})) expect(`late ${kind}`, countLate(result, kind), wanted)
  for (const [kind, bound] of Object.entries(outcome.worstMsOf ?? {})) {
    const worst = Math.max(...complete.filter((it) => isKind(it, kind)).map((it) => it.ms))
    if (worst > bound) problems.push(`slowest ${kind} took ${worst} ms, more than ${bound}`)
  }
  expect('started more than once', countTwice(result), outcome.ranTwice)
  for (const name of outcome.ranAtMostOnce ?? []) {
    if ((result.started.get(name) ?? 0) > 1) problems.push(`${name} ran ${result.started.get(name)} times`)
  }
  for (const name of outcome.ranExactlyOnce ?? []) expect(`runs of ${name}`, result.started.get(name) ?? 0, 1)
  expect('same answer to repeats', haveSameAnswers(complete), outcome.sameAnswer)
  expect('untruthful', countUntruthful(result), outcome.untruthful)
  expect('silent', result.expected - result.answers.length, outcome.silent)
  return problems
}

/** True when the answer is whole and its own. */
export function isWhole (answer: ReplayedAnswer): boolean {
  const { request } = answer
  return answer.text === Array.from({ length: request.tokens }, (_, i) => `${request.name}#${i} `).join('')
}

function isKind (answer: ReplayedAnswer, kind: string): boolean {
  return answer.request.name.startsWith(`${kind}-`)
}

function countLate (result: ReplayResult, kind: string): number {
  return result.answers.filter((it) => isKind(it, kind) && (!isWhole(it) || it.ms > it.request.deadlineMs)).length
}

// A repeatable request may start again after a fault; without faults none should.
function countTwice (result: ReplayResult): number {
  const keyed = new Set(result.answers.filter((it) => it.request.key !== undefined).map((it) => it.request.name))
  return [...result.started].filter(([name, count]) => count > 1 && keyed.has(name)).length
}

function haveSameAnswers (answers: readonly ReplayedAnswer[]): boolean {
  const texts = new Map<string, string>()
  return answers.every((it) => {
    const first = texts.get(it.request.name) ?? it.text
    texts.set(it.request.name, first ?? '')
    return first === it.text
  })
}

function countUntruthful (result: ReplayResult): number {
  return result.answers.filter((it) => it.error?.ran === Ran.NO && wasRunBy(result, it)).length
}

// Several requests may ask for one piece of work; one that was told "not run" is only wrong when no other ran it.
function wasRunBy (result: ReplayResult, answer: ReplayedAnswer): boolean {
  const others = result.answers.filter((it) => it.request.name === answer.request.name && it !== answer)
  return (result.started.get(answer.request.name) ?? 0) > 0 && others.every((it) => it.error?.ran === Ran.NO)
}
