import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** What occupies accelerator memory: a model's version, or an adapter beside its base. */
export interface ResidentItem {
  /** partner/model@version or partner/adapter. */
  item: string
  bytes: number
  state: 'loading' | 'ready'
}

/** A change in the engine's prefix cache; `seq` counts without gaps where it is sent. */
export interface CacheEvent {
  seq: number
  kind: 'stored' | 'evicted' | 'cleared'
  /** Block hashes. */
  blocks: number[]
}

/** The engine's report about itself; it lags. */
export interface EngineReport {
  /** Increases with every report of one engine life. */
  seq: number
  /** Changes when the engine restarted. */
  life: string
  /** Age of the figures in milliseconds, when sent. */
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

/** What is resident now, as the engine itself counts. */
export interface EngineInventory {
  life: string
  /** Age of the figures in milliseconds, when sent. */
  ageMs: number
  items: ResidentItem[]
  freeBytes: number
}

/** An order to change what is resident. */
export interface EngineOrder {
  order: string
  action: 'load' | 'unload'
  item: string
  weights: string
  bytes: number
  /** Fence of the placement shard's holder; engines that check refuse an older one. */
  fence: number
  sequence: number
  /** Milliseconds after which an engine that receives the order late must refuse it. */
  expiresInMs: number
  /** Wall time after which it is void, for engines with a clock in step. */
  expiresAt: number
}

export interface GenerateCall {
  attempt: string
  item: string
  adapter?: string
  prompt: string
  maxTokens: number
  /** 0 goes first. */
  priority: number
  /** Tokens already received; generation goes on after them. */
  offset: number
  /** Text already received, when another engine goes on with an answer. */
  continuation?: string
}

/** A piece of an answer, as the engine numbers it. */
export interface GeneratedToken {
  attempt: string
  /** Index of the token, from 0. */
  offset: number
  text: string
}

/** How an answer ended. */
export interface GenerateEnd {
  attempt: string
  finish: 'stop' | 'length'
  tokens: number
}

/** Takes each token as it comes. A promise holds the stream back until it settles; an error ends the stream with it. */
export type TokenSink = (token: GeneratedToken) => void | Promise<void>

/** One model engine. Failures carry in `ran` whether the engine may have acted. */
export abstract class EngineClient {
  /** Starts generation and resolves with its end; rejects with a PulleystackError when the stream breaks. */
  abstract generate (address: string, call: GenerateCall, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd>
  /** Goes on with a stream of the same attempt after it broke. */
  abstract resume (address: string, attempt: string, offset: number, sink: TokenSink, signal: AbortSignal): Promise<GenerateEnd>
  abstract cancel (address: string, attempt: string): Promise<void>
  abstract readReport (address: string, afterSeq: number, waitMs: number, signal?: AbortSignal): Promise<Result<EngineReport, PulleystackError>>
  abstract readInventory (address: string): Promise<Result<EngineInventory, PulleystackError>>
  abstract sendOrder (address: string, order: EngineOrder): Promise<Result<void, PulleystackError>>
}
