import { readFileSync } from 'node:fs'
import path from 'node:path'

/** One request of a trace. */
export interface TraceRequest {
  /** Milliseconds since the start of the trace. */
  at: number
  partner: string
  class: 'lookup' | 'work'
  /** `KIND-NUMBER`. Requests with the same name ask for the same work. */
  name: string
  tokens: number
  deadlineMs: number
  /** Idempotency-Key of work that must not run twice. */
  key?: string
  instance?: number
  /** Leading characters shared with other requests, in blocks. */
  prefix?: number
  prefixBlocks?: number
}

export type TraceFault =
  | { at: number, do: 'killEngine' | 'freezeEngine' | 'reviveEngine', engine: number }
  | { at: number, do: 'slowStore', ms: number }
  | { at: number, do: 'loseStoreAnswers', count: number }
  | { at: number, do: 'loseStoreWrites', count: number }

/** The expected outcome; fields that are left out are not checked. */
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
  /** Requests that were reported as not run although they ran. */
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

const PATH_TO_ROOT = '../../..'

/** Reads a trace from the `traces` folder. */
export function readTrace (name: string): Trace {
  return JSON.parse(readFileSync(path.join(import.meta.dirname, PATH_TO_ROOT, 'traces', `${name}.json`), 'utf8')) as Trace
}
