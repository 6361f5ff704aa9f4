import { hashAccessKey } from '@pulleystack/core.hashing'
import { sendRequest } from '@pulleystack/program.demo'

/** Access key of the caller that sends the load. */
export const CALLER_KEY = 'bench-caller'

const OPERATOR_KEY = 'demo-operator-peritos'

/** Applies the benchmark's configuration objects and waits until its model can be called. */
export async function configure (address: string): Promise<void> {
  const objects = [
    { kind: 'Service', partner: 'bench', name: 'lookups', spec: { type: 'plain', class: 'lookup' } },
    { kind: 'Service', partner: 'bench', name: 'drafts', spec: { type: 'model', class: 'work' } },
    { kind: 'Model', partner: 'bench', name: 'm', spec: { service: 'drafts', bytes: 1_000_000, kvFloorBytes: 0, weights: 'm' } },
    { kind: 'Caller', partner: 'bench', name: 'c', spec: { keyHashes: [hashAccessKey(CALLER_KEY)] } },
  ]
  await retry(async () => (await sendRequest(address, { method: 'POST', path: '/admin/apply', key: OPERATOR_KEY, body: { objects } })).status === 200)
  const body = { model: 'm', max_tokens: 1, prompt: 'x' }
  await retry(async () => (await sendRequest(address, { method: 'POST', path: '/v1/completions', key: CALLER_KEY, headers: { 'pulleystack-deadline-ms': '500' }, body })).status === 200)
}

async function retry (check: () => Promise<boolean>): Promise<void> {
  for (let i = 0; i < 100; i++) {
    if (await check().catch(() => false)) return
    await new Promise((resolve) => setTimeout(resolve, 100))
  }
  throw new Error('The entry instance did not become ready')
}
