import { Packr } from 'msgpackr'
import type { PeerIdentity } from './PeerNetwork.js'

/** What goes over a link, packed by msgpackr. */
export type Frame =
  | { t: 'hello', identity: PeerIdentity, nonce: string }
  | { t: 'proof', proof: string }
  | { t: 'beat', at: number, echo?: number, heldMs?: number }
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

/** Undefined when the bytes are no frame. */
export function decodeFrame (data: Buffer): Frame | undefined {
  try {
    const value = packr.unpack(data) as Frame | null
    return typeof value === 'object' && value !== null && typeof value.t === 'string' ? value : undefined
  } catch {
    return undefined
  }
}
