import { Packr } from 'msgpackr'
import type { Channel } from './Channel.js'
import type { PeerIdentity } from './PeerNetwork.js'

/** A heartbeat with the sender's clocks in ms. It echoes the clocks of the last heartbeat received and the time since its receipt, `heldMs`. */
export interface Heartbeat {
  t: 'beat'
  /** Wall clock. */
  at: number
  /** Monotonic clock. */
  time: number
  echo?: number
  echoTime?: number
  heldMs?: number
}

/** A message on a link, encoded with msgpackr. */
export type Frame =
  | { t: 'hello', identity: PeerIdentity, nonce: string }
  | { t: 'proof', proof: string }
  | Heartbeat
  | { t: 'identity', identity: PeerIdentity }
  | { t: 'send', channel: string, body: unknown }
  | { t: 'call', id: number, channel: string, body: unknown }
  | { t: 'answer', id: number, body?: unknown, error?: { code: string, message: string, ran: string } }

/** A larger frame closes the link. */
export const MAX_FRAME_BYTES = 8 << 20

const packr = new Packr({ useRecords: false, moreTypes: false })

export function encodeFrame (frame: Frame): Buffer {
  return packr.pack(frame)
}

/** Returns the encoded size of a message in bytes. */
export function measureSend<Body> (channel: Channel<Body>, body: Body): number {
  return encodeFrame({ t: 'send', channel: channel.name, body }).length
}

/** Returns undefined when the data is not a valid frame. */
export function decodeFrame (data: Buffer): Frame | undefined {
  try {
    const value = packr.unpack(data) as Frame | null
    return typeof value === 'object' && value !== null && typeof value.t === 'string' ? value : undefined
  } catch {
    return undefined
  }
}
