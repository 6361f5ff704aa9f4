import { createReadStream } from 'node:fs'
import { PulleystackError } from '@pulleystack/core.errors'
import { readLogChunks, type LogReader } from '@pulleystack/timeline.story'

/** Passes the lines of a log file to a reader; rejects with USAGE if the file can't be read. */
export async function readLogFile (file: string, reader: LogReader): Promise<void> {
  try {
    await readLogChunks(createReadStream(file, { encoding: 'utf8' }), reader)
  } catch (cause) {
    throw new PulleystackError('USAGE', `Cannot read log ${file}`, { cause })
  }
}
