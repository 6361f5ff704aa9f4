import { hashText } from '@pulleystack/core.hashing'

/** Characters that one block of the prefix cache covers. */
export const BLOCK_CHARACTERS = 256

/** Hashes of a prompt's whole blocks; each depends on all before it. */
export function hashPromptBlocks (item: string, prompt: string): number[] {
  const blocks: number[] = []
  let chain = hashText(item)
  for (let at = 0; at + BLOCK_CHARACTERS <= prompt.length; at += BLOCK_CHARACTERS) {
    chain = hashText(prompt.slice(at, at + BLOCK_CHARACTERS), chain)
    blocks.push(chain)
  }
  return blocks
}
