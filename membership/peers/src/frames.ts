import { Packr } from 'msgpackr'
import type { Channel } from './Channel.js'
import type { PeerIdentity } from './PeerNetwork.js'

/** A heartbeat: the sender's clocks, and of the last one of the other side its clocks and how long ago it came. */
export interface Beat {
  t: 'beat'
  /** Wall time. */
  at: number
  /** Monotone time. */
  time: number
  echo?: number
  echoTime?: number
  heldMs?: number
}

/** What goes over a link, packed by msgpackr. */
export type Frame =
  | { t: 'hello', identity: PeerIdentity, nonce: string }
  | { t: 'proof', proof: string }
  | Beat
  | { t: 'identity', identity: PeerIdentity }
  | { t: 'send', channel: string, body: unknown }
  | { t: 'call', id: number, channel: string, body: unknown }
  | { t: 'answer', id: number, body?: unknown, error?: { code: string, message: string, ran: string } }

/** Frames larger than this end the link. */
export const MAX_FRAME_BYTES = 8 << 20

const packr = new Packr({ useRecords: false, moreTypes: false })

export function encodeFrame (frame: Frame): Buffer {
  return packr.pack(frame)
}

/** Bytes of one message on a link. */
export function measureSend<Body> (channel: Channel<Body>, body: Body): number {
  return encodeFrame({ t: 'send', channel: channel.name, body }).length
}

/** Undefined when the bytes are no frame. */
export function decodeFrame (data: Buffer): Frame | undefined {
  try {
    const value = packr.unpack(data) as Frame | null
    return typeof value === 'object' && value !== null && typeof value.t === 'string' ? value : undefined
  } catch {
    return undefined
  }
}
