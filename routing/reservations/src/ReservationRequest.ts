import type { LoadTally, ServerIncarnation } from '@pulleystack/routing.fleet'

/** Asks for room at one server for one attempt. */
export interface ReservationRequest {
  server: ServerIncarnation
  service: string
  /** Unique among all attempts of all instances. */
  id: string
  /** Prompt tokens that the server has to process. */
  readTokens: number
  /** KV cache tokens that the request may use: prompt and expected output. */
  cacheTokens: number
  /** Prompt tokens including those in the server's cache; `readTokens` if omitted. The rest of `cacheTokens` is expected output. */
  promptTokens?: number
  /** 0 is the most urgent class. */
  priority: number
  team?: string
  /** Longest pause between events that the route allows, in milliseconds. */
  longestPauseMs?: number
  /** Milliseconds until the deadline of the request, when the reservation ends. */
  leftMs: number
  /** Milliseconds until a request that is sent still meets its latency target; negative when overdue. */
  dueMs: number
}

export const DenialReasons = {
  /** The batch or the KV cache has no room. */
  FULL: 'full',
  /** One more prompt would delay the streams running at the server for too long. */
  READING: 'reading',
  /** The remaining places are kept for more urgent requests. */
  RESERVED: 'reserved',
  /** The team uses more than its share, and others wait. */
  SHARE: 'share',
} as const
export type DenialReason = typeof DenialReasons[keyof typeof DenialReasons]

/** The owner's answer; `load` is that of all other requests at the server. */
export type ReservationAnswer =
  | { granted: true, load: LoadTally }
  | { granted: false, reason: DenialReason, /** Milliseconds until room is expected. */ retryAfterMs: number, load: LoadTally }
