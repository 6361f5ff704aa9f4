/** The answer that a repeat of a request gets. */
export interface KeptOutcome {
  status: number
  contentType: string
  /** Undefined when it was too large to keep. */
  body?: string
}

/** One line of a claim log. A later entry of a key changes what earlier ones said. */
export type ClaimEntry =
  | { kind: 'claim', key: string, hash: string, request: string, instance: string, at: number }
  | { kind: 'outcome', key: string, request: string, outcome: KeptOutcome, at: number }
  | { kind: 'release', key: string, request: string, at: number }

/** What an instance asks before it sends work that may not be repeated. */
export interface ClaimRequest {
  key: string
  /** Hash of method, path and body, by which another request under the same key is told apart. */
  hash: string
  request: string
  instance: string
}

export type ClaimDecision =
  | { kind: 'granted' }
  | { kind: 'repeat', instance: string, request: string, outcome?: KeptOutcome }
  | { kind: 'mismatch' }

/** State of one key. */
export interface HeldClaim {
  hash: string
  request: string
  instance: string
  at: number
  outcome?: KeptOutcome
}
