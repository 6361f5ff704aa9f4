/** The response stored for repeats of a request. */
export interface StoredOutcome {
  status: number
  contentType: string
  /** Undefined when it was too large to store. */
  body?: string
}

/** One entry of a claim log; the entries of a key apply in order. Times are wall times in milliseconds. */
export type ClaimEntry =
  | { kind: 'claim', key: string, hash: string, request: string, instance: string, at: number }
  | { kind: 'outcome', key: string, request: string, outcome: StoredOutcome, at: number }
  | { kind: 'release', key: string, request: string, at: number }

/** Request for a key, made before a non-repeatable request is sent. */
export interface ClaimRequest {
  key: string
  /** Hash of method, path and body; detects a different request with the same key. */
  hash: string
  request: string
  instance: string
}

export type ClaimDecision =
  | { kind: 'granted' }
  | { kind: 'repeat', instance: string, request: string, outcome?: StoredOutcome }
  | { kind: 'mismatch' }

/** Current state of one claimed key. */
export interface ClaimState {
  hash: string
  request: string
  instance: string
  at: number
  outcome?: StoredOutcome
}
