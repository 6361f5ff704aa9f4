import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { convertToError, parseErrorBody, PulleystackError, ResultCodes } from '../src/index.js'

const TABLE = path.join(import.meta.dirname, '../../../docs/result-codes.md')

describe('result codes', () => {
  it('have unique numbers', () => {
    const numbers = Object.values(ResultCodes).map((code) => code.number)
    assert.equal(new Set(numbers).size, numbers.length)
  })

  it('match the table in docs/result-codes.md', () => {
    const rows = readFileSync(TABLE, 'utf8').split('\n').filter((line) => /^\| \d/.test(line))
    const expected = Object.entries(ResultCodes).map(([name, code]) => `| ${code.number} | ${name} | ${code.status} | ${code.ran} | ${code.meaning} |`)
    assert.deepEqual(rows, expected)
  })
})

describe('PulleystackError', () => {
  it('is restored from its response body', () => {
    const error = new PulleystackError('OVERLOADED', 'too much', { field: 'x', hint: 'wait' })
    const read = parseErrorBody(error.renderBody('r1'))
    assert.deepEqual([read?.code, read?.message, read?.ran, read?.field, read?.hint], ['OVERLOADED', 'too much', 'no', 'x', 'wait'])
  })

  it('treats an unexpected error as one whose effect is unknown', () => {
    assert.equal(convertToError(new Error('x')).ran, 'unknown')
  })
})
