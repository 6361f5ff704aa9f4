import { hashText } from '@pulleystack/core.hashing'

/** Size of a prefix cache block in characters. */
export const BLOCK_CHARACTERS = 256

/** Hashes the complete blocks of a prompt. Each hash also depends on all blocks before it. */
export function hashPromptBlocks (item: string, prompt: string): number[] {
  const blocks: number[] = []
  let chainedHash = hashText(item)
  for (let start = 0; start + BLOCK_CHARACTERS <= prompt.length; start += BLOCK_CHARACTERS) {
    chainedHash = hashText(prompt.slice(start, start + BLOCK_CHARACTERS), chainedHash)
    blocks.push(chainedHash)
  }
  return blocks
}
