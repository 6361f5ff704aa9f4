import { readFileSync } from 'node:fs'
import path from 'node:path'

/** One recorded request. */
export interface TraceRequest {
  /** Milliseconds from the start. */
  at: number
  partner: string
  class: 'lookup' | 'work'
  /** Its kind before the dash, and a number. */
  name: string
  tokens: number
  deadlineMs: number
  /** Idempotency-Key of work that may not be repeated. */
  key?: string
  instance?: number
  /** Leading characters shared with others, in blocks. */
  prefix?: number
  prefixBlocks?: number
}

export type TraceFault =
  | { at: number, do: 'killEngine' | 'freezeEngine' | 'reviveEngine', engine: number }
  | { at: number, do: 'slowStore', ms: number }
  | { at: number, do: 'loseStoreAnswers', count: number }
  | { at: number, do: 'loseStoreWrites', count: number }

/** What must come out; fields that are left out are not asked for. */
export interface TraceOutcome {
  complete?: number
  completeAtLeast?: number
  completeOf?: Record<string, number>
  lateOf?: Record<string, number>
  worstMsOf?: Record<string, number>
  ranTwice?: number
  ranAtMostOnce?: string[]
  ranExactlyOnce?: string[]
  sameAnswer?: boolean
  /** Requests that were told that they did not run though they did. */
  untruthful?: number
  /** Requests without an answer. */
  silent?: number
}

export interface Trace {
  about: string
  engines: number
  slots: number
  tokenMs: number
  requests: TraceRequest[]
  faults: TraceFault[]
  outcome: TraceOutcome
}

const DEPTH_OF_ROOT = '../../..'

/** Reads a trace of the folder traces/. */
export function readTrace (name: string): Trace {
  return JSON.parse(readFileSync(path.join(import.meta.dirname, DEPTH_OF_ROOT, 'traces', `${name}.json`), 'utf8')) as Trace
}
