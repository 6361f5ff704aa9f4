import type { WeightsState } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'
import { nameWeights } from '@pulleystack/routing.fleet'
import { hasRoom } from './memory.js'
import { SentOrders, type ServerOrders } from './ServerOrders.js'

const FIRST_POLL_MS = 110
const MAX_TRIES = 3

export interface AdapterKeeperOptions {
  serving: ModelServing
  orders: ServerOrders
  /** Milliseconds since an adapter was last asked for, by model/adapter. */
  readIdleMs: (name: string) => number
  /** An adapter came or went. */
  onChange: (model: string, adapter: string, present: boolean) => void
}

/** Loads one adapter at a server that has its model; true once the server itself says that it is there. */
export async function loadAdapter (opts: AdapterKeeperOptions, model: string, adapter: string): Promise<boolean> {
  const name = nameWeights(model, adapter)
  for (let tries = 0; tries < MAX_TRIES; tries++) {
    const state = await opts.orders.readSettled()
    if (!state?.models.some((held) => held.name === model)) return false
    if (listAdapters(state).includes(name)) {
      opts.onChange(model, adapter, true)
      return true
    }
    if (!state.comingAdapters.some((coming) => isSameAdapter(coming, name))) {
      if (!await makeRoom(opts, state)) continue
      if (!hasRoom(opts.serving, state, model, true)) return false
      if (!await opts.orders.send('load', model, adapter)) continue
    }
    const reached = await opts.orders.waitFor((now) => listAdapters(now).includes(name), FIRST_POLL_MS)
    if (!reached) return false
    opts.onChange(model, adapter, true)
    return true
  }
  return false
}

/** Drops the adapters that nobody has asked for in the longest time until one place is free. */
async function makeRoom (opts: AdapterKeeperOptions, state: WeightsState): Promise<boolean> {
  const held = listAdapters(state)
  let excess = held.length + state.comingAdapters.length + 1 - opts.serving.adapterSlots
  const oldestFirst = [...held].sort((a, b) => opts.readIdleMs(b) - opts.readIdleMs(a))
  for (const name of oldestFirst) {
    if (excess <= 0) return true
    const [model, adapter] = name.split('/') as [string, string]
    // Nobody is sent to it any more from the moment that it is to go.
    opts.onChange(model, adapter, false)
    const sent = await opts.orders.send('unload', model, adapter)
    if (sent === undefined) opts.onChange(model, adapter, true)
    else if (sent !== SentOrders.HOLDS && !await waitUntilGone(opts, name)) return false
    else excess--
    if (await opts.orders.readSettled() === undefined) return false
  }
  return excess <= 0
}

/** A server that only took the order still runs requests that use the adapter; its place is free once the server says so. */
async function waitUntilGone (opts: AdapterKeeperOptions, name: string): Promise<boolean> {
  return await opts.orders.waitFor((state) => !listAdapters(state).includes(name), FIRST_POLL_MS) !== undefined
}

function listAdapters (state: WeightsState): string[] {
  return state.models.flatMap((model) => model.adapters.map((adapter) => nameWeights(model.name, adapter)))
}

// A coming adapter may carry its version behind an @.
function isSameAdapter (coming: string, name: string): boolean {
  return coming.split('@', 1)[0] === name
}
