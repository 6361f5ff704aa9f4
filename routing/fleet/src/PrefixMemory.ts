import { LRUCache } from 'lru-cache'

/** One part of a prompt; parts with the same id have the same text. */
export interface PromptPart {
  id: string
  tokens: number
}

/** Which beginnings of prompts one server has read, as far as this instance knows; the oldest are forgotten first. */
export class PrefixMemory {
  private readonly kept: LRUCache<string, number>

  /** `cacheTokens` is the size of the server's KV cache. */
  constructor (cacheTokens: number) {
    this.kept = new LRUCache({ maxSize: Math.max(1, cacheTokens), sizeCalculation: (tokens) => Math.max(1, tokens) })
  }

  /** Notes that the server reads these parts for a model. */
  note (weights: string, parts: readonly PromptPart[]): void {
    for (const { key, tokens } of listPrefixes(weights, parts)) this.kept.set(key, tokens)
  }

  /** Tokens at the beginning of the prompt that the server likely keeps. */
  countKept (weights: string, parts: readonly PromptPart[]): number {
    let sum = 0
    for (const { key, tokens } of listPrefixes(weights, parts)) {
      if (!this.kept.has(key)) return sum
      sum += tokens
    }
    return sum
  }

  /** Forgets everything, as after a restart. */
  clear (): void {
    this.kept.clear()
  }
}

// A part is only of use when all parts before it are kept too, so its key holds theirs.
function listPrefixes (weights: string, parts: readonly PromptPart[]): { key: string, tokens: number }[] {
  let key = weights
  return parts.map((part) => {
    key = `${key}>${part.id}`
    return { key, tokens: part.tokens }
  })
}
