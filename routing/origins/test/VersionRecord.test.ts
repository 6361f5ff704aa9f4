import assert from 'node:assert/strict'
import { describe, it } from 'node:test'
import { MAX_RECORDED_VERSIONS, MAX_RECORD_BYTES, extendRecord, parseVersionRecord, removeVersions } from '../src/VersionRecord.js'

/** Each character takes six bytes in JSON; two of them tell the names apart. */
function buildLongName (number: number): string {
  return '\u0001'.repeat(254) + number.toString().padStart(2, '0')
}

describe('the longest record of versions', () => {
  const versions = Array.from({ length: MAX_RECORDED_VERSIONS }, (_, number) => buildLongName(number))
  const known = { service: buildLongName(0), versions: versions.slice(0, 1), epoch: Number.MAX_SAFE_INTEGER }
  const longest = removeVersions(extendRecord(known, versions), versions)

  // Guards against a record that its instances write, and then read as too large, so that streams are refused.
  it('is not too large to be read', () => {
    assert.deepEqual([longest.versions.length, longest.retired?.length, longest.base], [MAX_RECORDED_VERSIONS, MAX_RECORDED_VERSIONS - 1, versions[0]])
    assert.deepEqual(parseVersionRecord(JSON.parse(JSON.stringify(longest))), longest)
    const bytes = Buffer.byteLength(JSON.stringify(longest))
    assert.ok(bytes <= MAX_RECORD_BYTES, `${bytes} bytes`)
  })
})
