import assert from 'node:assert/strict'
import fs from 'node:fs'
import os from 'node:os'
import path from 'node:path'
import { before, describe, it } from 'node:test'
import type { CommandContext } from '../src/Command.js'
import { runCli } from '../src/index.js'

function writeOrder (second: number, holder: string, fence: number, backend: string): string {
  const time = `2026-12-05T10:00:0${second}.000Z`
  return JSON.stringify({ name: holder, msg: 'order-sent', time, order: `o${second}`, copy: 1, backend, action: 'load', model: 'm', fence, sequence: 1 })
}

describe('pulleystack explain-orders', () => {
  const logs: string[] = []
  const output: string[] = []
  const context: CommandContext = { write: (text) => output.push(text), environment: {} }

  async function run (...args: string[]): Promise<[exitCode: number | undefined, text: string]> {
    output.length = 0
    return [await runCli(['node', 'pulleystack', 'explain-orders', ...args], context), output.join('\n')]
  }

  before(() => {
    const dir = fs.mkdtempSync(path.join(os.tmpdir(), 'pulleystack-orders-'))
    const texts = [[writeOrder(1, 'e1', 1, 's1'), writeOrder(8, 'e1', 1, 's2')], [writeOrder(3, 'e2', 2, 's1')]]
    for (const [i, lines] of texts.entries()) {
      logs.push(path.join(dir, `entry-${i + 1}.log`))
      fs.writeFileSync(logs[i] as string, lines.join('\n'))
    }
  })

  it('joins several logs and marks what conflicts, with success', async () => {
    const [exitCode, text] = await run(...logs)
    assert.equal(exitCode, 0)
    assert.match(text, /^ {4}2000 ms ! e2 load m fence=2 /m)
    assert.match(text, /^conclusion: 2 holders sent 3 orders to 2 servers; too close: 1, first at 2000 to s1; lower fence: 0; shared fence: 0; late arrival: 1, /m)
  })

  it('takes bounds and a server', async () => {
    const [, text] = await run('--gap', '2000', '--travel', '1500', '--server', 's1', ...logs)
    assert.match(text, /^conclusion: 2 holders sent 2 orders to 1 servers; too close: 0; lower fence: 0; shared fence: 0; late arrival: 0$/m)
  })

  it('rejects a call without logs, with a log that is not there and with a bound that is no time', async () => {
    for (const args of [[], ['missing.log'], ['--gap', 'soon', ...logs], ['--travel=-1', ...logs]]) assert.equal((await run(...args))[0], 2)
  })
})
