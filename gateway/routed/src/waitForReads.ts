/**
 * Turns of the event loop by which the end of a connection that has come is known: its last bytes are read in one, its end in the next, and a third closes
 * it when the body was larger than what Node holds of it (100 KB in the test; two turns were too few, three enough). One is to spare; four take 8 us.
 */
const TURNS = 4

/**
 * Resolves once what had come on all connections by now has been read. A process that was held up finds requests and the ends of their connections at
 * one time and reads the requests first; without this it would send on what nobody waits for any more.
 */
export async function waitForReads (): Promise<void> {
  for (let turn = 0; turn < TURNS; turn++) await new Promise(setImmediate)
}
