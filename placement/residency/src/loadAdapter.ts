import type { WeightsState } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'
import { nameWeights } from '@pulleystack/routing.fleet'
import { hasRoom } from './memory.js'
import { SentOrders, type ServerOrders } from './ServerOrders.js'

const FIRST_POLL_DELAY_MS = 110
const MAX_ATTEMPTS = 3

export interface LoadAdapterOptions {
  serving: ModelServing
  orders: ServerOrders
  /** Milliseconds since an adapter was last requested, by model/adapter. */
  readIdleMs: (name: string) => number
  /** Called when an adapter becomes available or is about to be unloaded. */
  onChange: (model: string, adapter: string, present: boolean) => void
}

/** Loads an adapter on a server that has its model. Resolves to true once the server reports the adapter as loaded. */
export async function loadAdapter (opts: LoadAdapterOptions, model: string, adapter: string): Promise<boolean> {
  const name = nameWeights(model, adapter)
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    const state = await opts.orders.readSettled()
    if (!state?.models.some((it) => it.name === model)) return false
    if (listAdapters(state).includes(name)) {
      opts.onChange(model, adapter, true)
      return true
    }
    if (!state.loadingAdapters.some((pending) => isSameAdapter(pending, name))) {
      if (!await ensureFreeSlot(opts, state)) continue
      if (!hasRoom(opts.serving, state, model, true)) return false
      if (!await opts.orders.send('load', model, adapter)) continue
    }
    const reached = await opts.orders.waitFor((now) => listAdapters(now).includes(name), FIRST_POLL_DELAY_MS)
    if (!reached) return false
    opts.onChange(model, adapter, true)
    return true
  }
  return false
}

/** Unloads the least recently used adapters until one adapter slot is free. */
async function ensureFreeSlot (opts: LoadAdapterOptions, state: WeightsState): Promise<boolean> {
  const loaded = listAdapters(state)
  let excess = loaded.length + state.loadingAdapters.length + 1 - opts.serving.adapterSlots
  const leastRecentlyUsed = [...loaded].sort((a, b) => opts.readIdleMs(b) - opts.readIdleMs(a))
  for (const name of leastRecentlyUsed) {
    if (excess <= 0) return true
    const [model, adapter] = name.split('/') as [string, string]
    // Stop routing requests to the adapter before it is unloaded.
    opts.onChange(model, adapter, false)
    const outcome = await opts.orders.send('unload', model, adapter)
    if (outcome === undefined) opts.onChange(model, adapter, true)
    else if (outcome !== SentOrders.HOLDS && !await waitUntilUnloaded(opts, name)) return false
    else excess--
    if (await opts.orders.readSettled() === undefined) return false
  }
  return excess <= 0
}

/** A server that accepts an unload order keeps the adapter until the requests that use it have ended. */
async function waitUntilUnloaded (opts: LoadAdapterOptions, name: string): Promise<boolean> {
  return await opts.orders.waitFor((state) => !listAdapters(state).includes(name), FIRST_POLL_DELAY_MS) !== undefined
}

function listAdapters (state: WeightsState): string[] {
  return state.models.flatMap((model) => model.adapters.map((adapter) => nameWeights(model.name, adapter)))
}

// The name of a pending adapter may end with its version, as in model/adapter@1.
function isSameAdapter (pending: string, name: string): boolean {
  return pending.split('@', 1)[0] === name
}
