import type http from 'node:http'
import { Framings, readFraming } from './readFraming.js'

/**
 * Calls `onReset` when the connection of a response fails before its body is complete, and before Node ends the body, which it does normally even then
 * when only the close of the connection ends it. Has to be called when the response arrives.
 */
export function watchReset (request: http.ClientRequest, message: http.IncomingMessage, onReset: (cause: Error) => void): void {
  // An error after a complete response, as from surplus bytes, concerns only the connection.
  request.on('error', (cause) => {
    if (!message.complete) onReset(cause)
  })
  if (readFraming(message, request.method) !== Framings.CLOSE) return
  const { socket } = message
  // libuv reports a reset as the end of the stream when data arrives with it. Only a connection that was closed normally still has a remote address.
  // Node keeps the first address that it reads, so that reading it earlier would hide the reset.
  socket.prependOnceListener('end', () => {
    if (socket.remoteAddress === undefined) onReset(new Error('The connection was reset'))
  })
}
