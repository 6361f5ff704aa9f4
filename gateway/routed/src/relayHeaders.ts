import type { IncomingHttpHeaders } from 'node:http'
import type { StreamOrigin } from '@pulleystack/routing.fleet'

/** Headers between an instance that hands requests on and one that answers them, in lower case; neither servers nor clients see them. */
export const RelayHeaders = {
  /** Request header: oldest configuration version that may serve the request. */
  MIN_VERSION: 'pulleystack-relay-min-version',
  /** Response header: configuration version in force at the responding instance. */
  VERSION: 'pulleystack-relay-version',
  /** Response header: the request was not run because the instance has an older configuration. */
  OUTDATED: 'pulleystack-relay-outdated',
} as const

/** Headers of every request that an instance hands on, in lower case. They count only under the key, so that those of clients change nothing. */
export const HopHeaders = {
  /** The receiver's own key, which only other instances know. */
  KEY: 'pulleystack-hop-key',
  /** Name of the sending instance. */
  SENDER: 'pulleystack-hop-sender',
  /** Milliseconds from the arrival at the first instance until the request was sent. */
  USED_MS: 'pulleystack-hop-used-ms',
  /** The sender's monotonic time of sending, in milliseconds. */
  SENT_AT: 'pulleystack-hop-sent-at',
} as const

/** Headers of a request whose servers an instance can't reach and that it forwards, in lower case. */
export const ForwardHeaders = {
  /** The receiver's own key, which only other instances know. */
  KEY: 'pulleystack-forward-key',
  /** Attempts at servers that are left for the request. */
  ATTEMPTS: 'pulleystack-forward-attempts',
  /** The client has received a part of the response. */
  BEGUN: 'pulleystack-forward-begun',
  /** Request and response header: where the stream began. */
  ORIGIN: 'pulleystack-stream-origin',
} as const

export const RELAY_HEADER_NAMES: ReadonlySet<string> = new Set([RelayHeaders, HopHeaders, ForwardHeaders].flatMap((headers) => Object.values(headers)))

/** What another instance says of a request that it hands on. */
export interface Hop {
  sender: string
  /** Milliseconds from the arrival at the first instance until the request was sent. */
  usedMs: number
  /** The sender's monotonic time of sending, in milliseconds. */
  sentAt: number
}

/** Reads what another instance says of a request that it hands on; undefined for any other request. */
export function readHop (headers: IncomingHttpHeaders, ownKey: string | undefined): Hop | undefined {
  if (ownKey === undefined || headers[HopHeaders.KEY] !== ownKey) return undefined
  const [usedMs, sentAt] = [HopHeaders.USED_MS, HopHeaders.SENT_AT].map((name) => Number(headers[name] ?? NaN)) as [number, number]
  const sender = headers[HopHeaders.SENDER]
  return typeof sender === 'string' && usedMs >= 0 && Number.isFinite(usedMs) && Number.isFinite(sentAt) ? { sender, usedMs, sentAt } : undefined
}

/** Builds the headers that `readHop` reads at the instance whose key is `key`. */
export function buildHopHeaders ({ sender, usedMs, sentAt }: Hop, key: string): string[] {
  return [HopHeaders.KEY, key, HopHeaders.SENDER, sender, HopHeaders.USED_MS, usedMs.toFixed(1), HopHeaders.SENT_AT, sentAt.toFixed(1)]
}

/** A request that another instance forwards: it has admitted and counted the request. */
export interface ForwardedRequest {
  attemptsLeft: number
  /** Whether the client has received a part of the response; left out otherwise. */
  hasBegun?: boolean
  /** Where the stream that it continues began; undefined unless it continues one. */
  origin?: StreamOrigin
}

/** Reads what another instance says of a request that it forwards; undefined for any other request. */
export function readForwarded (headers: IncomingHttpHeaders, ownKey: string | undefined): ForwardedRequest | undefined {
  if (ownKey === undefined || headers[ForwardHeaders.KEY] !== ownKey) return undefined
  const attempts = Number(headers[ForwardHeaders.ATTEMPTS])
  const origin = readOrigin(headers)
  const hasBegun = headers[ForwardHeaders.BEGUN] !== undefined
  return { attemptsLeft: Number.isInteger(attempts) && attempts > 0 ? attempts : 1, ...hasBegun && { hasBegun }, ...origin && { origin } }
}

/** Encodes an origin, whose names may have any letters, as the value of a header. */
export function formatOrigin ({ service, version }: StreamOrigin): string {
  return Buffer.from(JSON.stringify([service, version])).toString('base64url')
}

/** Reads where a stream began from the headers of an instance; undefined if they don't tell, or not in a valid form. */
export function readOrigin (headers: IncomingHttpHeaders): StreamOrigin | undefined {
  const value = headers[ForwardHeaders.ORIGIN]
  if (typeof value !== 'string') return undefined
  try {
    const [service, version] = JSON.parse(Buffer.from(value, 'base64url').toString('utf8')) as unknown[]
    return typeof service === 'string' && typeof version === 'string' ? { service, version } : undefined
  } catch {
    return undefined
  }
}

/** Reads the oldest configuration version that may serve a request of another instance; undefined for a request sent by a client. */
export function readMinVersion (headers: IncomingHttpHeaders, ownKey: string | undefined): number | undefined {
  const text = headers[RelayHeaders.MIN_VERSION]
  const isProven = ownKey !== undefined && (headers[HopHeaders.KEY] === ownKey || headers[ForwardHeaders.KEY] === ownKey)
  return text === undefined || !isProven ? undefined : Number(text)
}
