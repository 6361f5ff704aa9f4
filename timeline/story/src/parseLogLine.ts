import { readLogLines, type LogLine } from './buildRequestTrace.js'

/** Simulated time in seconds and name of a machine, as a replayed trace writes them before each line. */
const SIMULATED_PREFIX = /^\s*(-?\d+(?:\.\d+)?)\s+\S+\s+\{/

/**
 * Parses a line of a decision log; undefined if it is none. A simulated time before the line replaces its wall-clock time, since the clock of a
 * simulated machine may be stepped.
 */
export function parseLogLine (text: string): LogLine | undefined {
  const [line] = readLogLines(text)
  const seconds = SIMULATED_PREFIX.exec(text)?.[1]
  return line && seconds !== undefined ? { ...line, at: Number(seconds) * 1_000 } : line
}
