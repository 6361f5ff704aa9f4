import type { LogLine } from './buildRequestTrace.js'
import { parseLogLine } from './parseLogLine.js'
import { splitLines } from './splitLines.js'

/** Takes the lines of a decision log. */
export interface LogReader {
  add: (line: LogLine) => void
  /** Called for each line that is no log line and not empty. */
  recordSkipped: () => void
}

/** Passes the lines of one log, given in chunks of text, to a reader; rejects with the error of `chunks`. */
export async function readLogChunks (chunks: AsyncIterable<string>, reader: LogReader): Promise<void> {
  for await (const text of splitLines(chunks)) {
    const line = parseLogLine(text)
    if (line) reader.add(line)
    else if (text.trim() !== '') reader.recordSkipped()
  }
}
