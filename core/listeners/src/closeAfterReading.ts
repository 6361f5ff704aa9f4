import type { Socket } from 'node:net'

/** Time without bytes from the other side after which a connection is closed although the other side keeps it open. */
const QUIET_MS = 300
/** Longest time for which bytes from the other side are read and dropped. */
const MAX_READING_MS = 3_000

/**
 * Ends a connection once its pending writes are flushed, and drops what still arrives until the other side ends it too: a close with unread bytes would
 * reset it, and the other side could lose the last response.
 */
export function closeAfterReading (socket: Socket): void {
  if (socket.destroyed) return
  socket.end()
  socket.resume()
  if (socket.writableFinished) watchUntilQuiet(socket)
  else socket.once('finish', () => watchUntilQuiet(socket))
}

function watchUntilQuiet (socket: Socket): void {
  const endsAt = performance.now() + MAX_READING_MS
  let bytesRead = socket.bytesRead
  const timer = setInterval(() => {
    const isQuiet = socket.bytesRead === bytesRead
    bytesRead = socket.bytesRead
    if (isQuiet || performance.now() >= endsAt) socket.destroy()
  }, QUIET_MS)
  socket.once('close', () => clearInterval(timer))
}
