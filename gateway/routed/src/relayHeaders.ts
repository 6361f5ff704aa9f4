import type { IncomingHttpHeaders } from 'node:http'

/** Headers between an instance that hands requests on and one that answers them, in lower case; neither servers nor clients see them. */
export const RelayHeaders = {
  /** Of a request that was handed on: the configuration that answers it may not be older than this version. */
  MIN_VERSION: 'pulleystack-relay-min-version',
  /** Of its answer: the version in force at the instance that gave it. */
  VERSION: 'pulleystack-relay-version',
  /** Of its answer: nothing was done, since the instance knows an older version only. */
  OUTDATED: 'pulleystack-relay-outdated',
} as const

export const RELAY_HEADER_NAMES: ReadonlySet<string> = new Set(Object.values(RelayHeaders))

/** The least version that may answer a request which another instance handed on; undefined for one that a client sent. */
export function readMinVersion (headers: IncomingHttpHeaders): number | undefined {
  const text = headers[RelayHeaders.MIN_VERSION]
  return text === undefined ? undefined : Number(text)
}
