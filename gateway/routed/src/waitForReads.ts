/**
 * Resolves once what had come on all connections by now has been read. A process that was held up finds requests and the ends of their connections at
 * one time and reads the requests first; without this it would send on what nobody waits for any more. It takes two turns of the event loop: the
 * end of a connection is read in the turn after the one in which its last bytes were.
 */
export function waitForReads (): Promise<void> {
  return new Promise((resolve) => {
    setImmediate(() => setImmediate(resolve))
  })
}
