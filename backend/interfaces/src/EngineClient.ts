import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** An item in accelerator memory: a version of a model, or an adapter loaded in addition to its base model. */
export interface ResidentItem {
  /** `partner/model@version` or `partner/adapter`. */
  item: string
  bytes: number
  state: 'loading' | 'ready'
}

/** A change in the engine's prefix cache. The engine numbers its events by `seq` without gaps. */
export interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted' | 'cleared'
  /** Block hashes. */
  blocks: number[]
}

/** An engine's report of its state, which may be out of date by `ageMs`. */
export interface EngineReport {
  /** Increases with each report of one engine process. */
  seq: number
  /** Identifies the engine's process; changes on restart. */
  life: string
  /** Age of the data in milliseconds at the time of sending. */
  ageMs: number
  running: number
  waiting: number
  slots: number
  items: ResidentItem[]
  freeBytes: number
  cacheEvents: CacheEvent[]
  /** Sequence number of the newest cache event before this report. */
  cacheSeq: number
}

/** The items in an engine's memory, as counted by the engine. */
export interface EngineInventory {
  life: string
  /** Age of the data in milliseconds at the time of sending. */
  ageMs: number
  items: ResidentItem[]
  freeBytes: number
}

/** An order to load or unload an item. */
export interface EngineOrder {
  order: string
  action: 'load' | 'unload'
  item: string
  weights: string
  bytes: number
  /** Fence of the instance that holds the placement shard. Engines that check fences reject older ones. */
  fence: number
  sequence: number
  /** Milliseconds after which an engine must reject the order. */
  expiresInMs: number
  /** Wall time (milliseconds since the Unix epoch) at which the order expires, for engines with a synchronized clock. */
  expiresAt: number
}

export interface GenerateCall {
  attempt: string
  item: string
  adapter?: string
  prompt: string
  maxTokens: number
  /** 0 is the most urgent. */
  priority: number
  /** Number of tokens already received, after which generation continues. */
  offset: number
  /** Text already received, if another engine began the answer. */
  continuation?: string
}

/** A generated token. */
export interface GeneratedToken {
  attempt: string
  /** Index of the token in the answer, from 0. */
  offset: number
  text: string
}

/** The end of a generated answer. */
export interface GenerateEnd {
  attempt: string
  finish: 'stop' | 'length'
  tokens: number
}

/** Receives each token as it arrives. A returned promise pauses the stream until it settles; a thrown error ends the stream. */
export type TokenSink = (token: GeneratedToken) => void | Promise<void>

/** Client for model engines. The `ran` of an error tells whether the engine may have acted on the request. */
export abstract class EngineClient {
  /** Starts generation and resolves when it ends. Rejects with a PulleystackError if the stream fails. */
  abstract generate (address: string, call: GenerateCall, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd>
  /** Continues the interrupted stream of an attempt from a token offset. */
  abstract resume (address: string, attempt: string, offset: number, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd>
  abstract cancel (address: string, attempt: string): Promise<void>
  abstract readReport (address: string, afterSeq: number, waitMs: number, signal?: AbortSignal): Promise<Result<EngineReport, PulleystackError>>
  abstract readInventory (address: string): Promise<Result<EngineInventory, PulleystackError>>
  abstract sendOrder (address: string, order: EngineOrder): Promise<Result<void, PulleystackError>>
}
