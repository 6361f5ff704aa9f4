// Writes the generated documentation: result codes, schemas of configuration objects and log lines.
import fs from 'node:fs'
import path from 'node:path'
import { createObjectJsonSchema, Kinds } from '../../config/objects/src/index.js'
import { ResultCodes } from '../../core/errors/src/index.js'
import { renderLogLines } from './renderLogLines.mjs'

const RESULT_CODES_HEADER = `# Result codes

Every error that a caller or an operator sees has one of these numbers. *Ran* says what may be assumed about the work:
\`no\` means that nothing of it was acted on, \`unknown\` that it may have run, \`yes\` that it ran at least in part. An
error can state more than its row where more is known. This table is written by \`npm run docs\` and checked by a test.

| Number | Name | HTTP status | Ran | Meaning |
|---|---|---|---|---|
`

function writeResultCodes (): void {
  const rows = Object.entries(ResultCodes).map(([name, code]) => `| ${code.number} | ${name} | ${code.status} | ${code.ran} | ${code.meaning} |`)
  fs.writeFileSync('docs/result-codes.md', `${RESULT_CODES_HEADER}${rows.join('\n')}\n`)
}

function writeSchemas (): void {
  fs.mkdirSync('docs/schemas', { recursive: true })
  for (const kind of Object.values(Kinds)) {
    fs.writeFileSync(path.join('docs/schemas', `${kind}.json`), `${JSON.stringify(createObjectJsonSchema(kind), null, 2)}\n`)
  }
}

writeResultCodes()
fs.writeFileSync('docs/log-lines.md', renderLogLines())
writeSchemas()
