import { LRUCache } from 'lru-cache'

/** A part of a prompt; parts with the same id have the same text. */
export interface PromptPart {
  id: string
  tokens: number
}

/** Estimates which prompt prefixes are in a server's cache, with the least recently used evicted first. */
export class PrefixTracker {
  private readonly cached: LRUCache<string, number>

  /** `cacheTokens` is the size of the server's KV cache. */
  constructor (cacheTokens: number) {
    this.cached = new LRUCache({ maxSize: Math.max(1, cacheTokens), sizeCalculation: (tokens) => Math.max(1, tokens) })
  }

  /** Records that the server processes these parts for a model. */
  record (weights: string, parts: readonly PromptPart[]): void {
    for (const { key, tokens } of listPrefixes(weights, parts)) this.cached.set(key, tokens)
  }

  /** Number of tokens at the start of the prompt that are likely cached. */
  countCachedTokens (weights: string, parts: readonly PromptPart[]): number {
    let sum = 0
    for (const { key, tokens } of listPrefixes(weights, parts)) {
      if (!this.cached.has(key)) return sum
      sum += tokens
    }
    return sum
  }

  clear (): void {
    this.cached.clear()
  }
}

// A part is only reusable if all parts before it are cached too, so its key includes theirs.
function listPrefixes (weights: string, parts: readonly PromptPart[]): { key: string, tokens: number }[] {
  let key = weights
  return parts.map((part) => {
    key = `${key}>${part.id}`
    return { key, tokens: part.tokens }
  })
}
