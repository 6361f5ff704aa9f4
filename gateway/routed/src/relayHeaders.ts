import type { IncomingHttpHeaders } from 'node:http'

/** Headers between an instance that hands requests on and one that answers them, in lower case; neither servers nor clients see them. */
export const RelayHeaders = {
  /** Request header: oldest configuration version that may serve the request. */
  MIN_VERSION: 'pulleystack-relay-min-version',
  /** Response header: configuration version in force at the responding instance. */
  VERSION: 'pulleystack-relay-version',
  /** Response header: the request was not run because the instance has an older configuration. */
  OUTDATED: 'pulleystack-relay-outdated',
} as const

export const RELAY_HEADER_NAMES: ReadonlySet<string> = new Set(Object.values(RelayHeaders))

/** Reads the oldest configuration version that may serve a relayed request; undefined for a request sent by a client. */
export function readMinVersion (headers: IncomingHttpHeaders): number | undefined {
  const text = headers[RelayHeaders.MIN_VERSION]
  return text === undefined ? undefined : Number(text)
}
