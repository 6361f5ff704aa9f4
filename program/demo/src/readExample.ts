import { readFileSync } from 'node:fs'
import path from 'node:path'
import { createRequire } from 'node:module'
import { parse } from 'jsonc-parser'

const PATH_TO_ROOT = '../../..'

/** Reads a file of examples/, from the assets of the single executable or from the checkout. */
export function readExampleText (file: string): string {
  const sea = loadSea()
  if (sea?.isSea()) return sea.getAsset(file, 'utf8')
  return readFileSync(path.join(import.meta.dirname, PATH_TO_ROOT, 'examples', file), 'utf8')
}

/** Reads the objects in a file of examples/. */
export function readExample (file: string): unknown[] {
  return parse(readExampleText(file), [], { allowTrailingComma: true }) as unknown[]
}

function loadSea (): { isSea: () => boolean, getAsset: (name: string, encoding: string) => string } | undefined {
  try {
    return createRequire(process.execPath)('node:sea') as ReturnType<typeof loadSea>
  } catch {
    return undefined
  }
}
