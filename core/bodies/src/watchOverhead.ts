import type http from 'node:http'
import type { Socket } from 'node:net'

/** Bytes of a response that belong to no body: its head, and what frames the body. */
const MAX_OVERHEAD_BYTES = 1 << 20
/** Chunks of a few bytes cost far more memory and time than what they hold; beyond the limit above they must be larger on average. */
const MAX_OVERHEAD_PER_BODY_BYTE = 1 / 8
const MAX_INFORMATIONAL_RESPONSES = 16

/** Watches the bytes of one response that belong to no body. */
export interface OverheadWatch {
  /** Has to be called with the size of each chunk of the body. */
  addBody: (bytes: number) => void
  stop: () => void
}

/** Destroys a request whose server sends bytes without end that are no body, such as informational responses or the zeros of a chunk size. */
export function watchOverhead (request: http.ClientRequest): OverheadWatch {
  let bodyBytes = 0
  let readBefore = 0
  let informationalCount = 0
  let connection: Socket | undefined
  const check = (): void => {
    const overheadBytes = (connection?.bytesRead ?? readBefore) - readBefore - bodyBytes
    if (overheadBytes > MAX_OVERHEAD_BYTES + bodyBytes * MAX_OVERHEAD_PER_BODY_BYTE) request.destroy(new Error(`The server sent ${overheadBytes} bytes that belong to no body`))
  }
  request.once('socket', (socket) => {
    connection = socket
    readBefore = socket.bytesRead
    socket.on('data', check)
  })
  request.on('information', () => {
    informationalCount++
    if (informationalCount > MAX_INFORMATIONAL_RESPONSES) request.destroy(new Error(`The server sent ${informationalCount} informational responses`))
  })
  return {
    addBody: (bytes) => {
      bodyBytes += bytes
    },
    stop: () => connection?.removeListener('data', check),
  }
}
