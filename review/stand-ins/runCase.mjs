import fs from 'node:fs'
import path from 'node:path'

const EXIT_CODES = { BROKEN: 1, HELD: 0, NOT_RUN: 2 }
const LIMIT_MS = 110_000

/** Record of what was sent, answered and run, with times in seconds since the start of the script. */
export class Record {
  constructor (folder) {
    this.file = path.join(folder, 'record.txt')
    this.startedAt = performance.now()
    this.lines = []
  }

  add (text) {
    this.lines.push(`${((performance.now() - this.startedAt) / 1_000).toFixed(3).padStart(9)} ${text}`)
  }

  write () {
    fs.writeFileSync(this.file, this.lines.join('\n') + '\n')
  }
}

/**
 * Runs a case and exits with 1 if its rule was broken, 0 if it held and 2 if the case couldn't run. `play` gets the record, whether the disruption is to
 * happen and a function that registers what has to be stopped; it resolves with the breaks that were seen.
 */
export async function runCase (folder, play) {
  const record = new Record(folder)
  const hasTrouble = process.env.TROUBLE !== '0'
  const stops = []
  let code = EXIT_CODES.NOT_RUN
  const guard = setTimeout(() => finish(EXIT_CODES.NOT_RUN, 'the script took too long'), LIMIT_MS)
  const finish = (exitCode, text) => {
    clearTimeout(guard)
    for (const stop of stops) stop()
    record.add(text)
    record.write()
    console.log(text)
    process.exit(exitCode)
  }
  for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => finish(EXIT_CODES.NOT_RUN, `ended by ${signal}`))
  let text = ''
  try {
    const breaks = await play({ record, hasTrouble, onStop: (stop) => stops.push(stop) })
    for (const it of breaks) record.add(`BROKEN ${it}`)
    code = breaks.length > 0 ? EXIT_CODES.BROKEN : EXIT_CODES.HELD
    text = `${breaks.length > 0 ? `the rule was broken: ${breaks[0]}` : 'the rule held'} (disruption: ${hasTrouble ? 'yes' : 'no'})`
  } catch (error) {
    text = `the case could not run: ${error.stack}`
  }
  finish(code, text)
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms))
