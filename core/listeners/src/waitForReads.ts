/**
 * Event loop turns until a closed connection is noticed: its last bytes are read in one, its end in the next, and a third closes it when the body
 * exceeds Node's read buffer. Two turns were too few for a body of 100 KB; one turn is spare.
 */
const EVENT_LOOP_TURNS = 4

/**
 * Resolves once all data that has already arrived on connections has been read. After a stall of the process, this keeps requests of clients that have
 * already disconnected from being forwarded.
 */
export async function waitForReads (): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await new Promise(setImmediate)
}
