import assert from 'node:assert/strict'
import fs from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { renderLogLines } from '../../../tools/scripts/renderLogLines.mjs'
import { DecisionKinds } from '../src/index.js'

const PAGE = path.join(import.meta.dirname, '../../../docs/log-lines.md')

describe('docs/log-lines.md', () => {
  it('is up to date with the code', () => {
    assert.equal(fs.readFileSync(PAGE, 'utf8'), renderLogLines())
  })

  it('lists every kind of log line', () => {
    const page = renderLogLines()
    for (const kind of Object.values(DecisionKinds)) assert.ok(page.includes(`| \`${kind}\` |`), kind)
  })
})
