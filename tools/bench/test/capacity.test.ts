import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import path from 'node:path'
import { describe, it } from 'node:test'
import { renderBudgetTable, renderSlopeTable, type Measurements } from '../src/capacity/budget.js'
import { fitLine } from '../src/capacity/fitLine.js'

const ROOT = path.join(import.meta.dirname, '../../..')

describe('docs/CAPACITY.md', () => {
  const page = readFileSync(path.join(ROOT, 'docs/CAPACITY.md'), 'utf8')
  const measured = JSON.parse(readFileSync(path.join(ROOT, 'docs/capacity/measured.json'), 'utf8')) as Measurements

  it('contains the table of measured slopes', () => {
    assert.ok(page.includes(renderSlopeTable(measured)))
  })

  it('contains the budget table that the script renders', () => {
    assert.ok(page.includes(renderBudgetTable(measured)))
  })

  it('has at least four points for each slope, and a stored fit that matches them', () => {
    for (const slope of measured.slopes) {
      assert.ok(slope.points.length >= 4, slope.name)
      const fit = fitLine(slope.points)
      assert.ok(Math.abs(fit.slope - slope.fit.slope) <= Math.abs(fit.slope) * 0.01 + 0.01, `${slope.name}: ${fit.slope} against ${slope.fit.slope}`)
    }
  })
})
