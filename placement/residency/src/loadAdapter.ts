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
  /** Adds what the server may still load to its state, except for the weights with the given name. */
  addUnanswered: (state: WeightsState, except: string) => WeightsState
  /** Called when an adapter becomes available or is about to be unloaded. */
  onChange: (model: string, adapter: string, present: boolean) => void
}

/** Loads an adapter on a server that has its model. Resolves to true once the server reports the adapter as loaded. */
export async function loadAdapter (opts: LoadAdapterOptions, model: string, adapter: string): Promise<boolean> {
  const name = nameWeights(model, adapter)
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
    // An adapter's unload is announced before its order is sent, and must not wait then.
    await opts.orders.waitForFormerOrders()
    const state = await opts.orders.readSettled()
    if (!state?.models.some((it) => it.name === model)) return false
    if (listAdapters(state).includes(name)) {
      opts.onChange(model, adapter, true)
      return true
    }
    if (!state.loadingAdapters.some((pending) => isSameAdapter(pending, name))) {
      const withSlot = await ensureFreeSlot(opts, state, name)
      if (!withSlot) continue
      if (!hasRoom(opts.serving, opts.addUnanswered(withSlot, name), model, true)) return false
      if (!await opts.orders.send('load', model, adapter)) continue
    }
    const reached = await opts.orders.waitFor((now) => listAdapters(now).includes(name), FIRST_POLL_DELAY_MS)
    if (!reached) return false
    opts.onChange(model, adapter, true)
    return true
  }
  return false
}

/**
 * Unloads the least recently used adapters until an adapter slot is free. Returns the state in which it is: an order relies on the whole state to which its
 * sequence number belongs. Undefined when no adapter is left to unload, or the state can't be read.
 */
async function ensureFreeSlot (opts: LoadAdapterOptions, initial: WeightsState, name: string): Promise<WeightsState | undefined> {
  const tried = new Set<string>()
  let state: WeightsState | undefined = initial
  while (state) {
    const reserved = opts.addUnanswered(state, name)
    if (listAdapters(reserved).length + reserved.loadingAdapters.length < opts.serving.adapterSlots) return state
    const [victim] = listAdapters(state).filter((it) => !tried.has(it)).sort((a, b) => opts.readIdleMs(b) - opts.readIdleMs(a))
    if (victim === undefined) return undefined
    tried.add(victim)
    state = await unloadAdapter(opts, victim)
  }
  return undefined
}

/** Returns the state after the unload, also after one that the server refused; undefined when the outcome is not known. */
async function unloadAdapter (opts: LoadAdapterOptions, name: string): Promise<WeightsState | undefined> {
  const [model, adapter] = name.split('/') as [string, string]
  // Stop routing requests to the adapter before it is unloaded.
  opts.onChange(model, adapter, false)
  const outcome = await opts.orders.send('unload', model, adapter)
  if (outcome === undefined) opts.onChange(model, adapter, true)
  if (outcome === undefined || outcome === SentOrders.HOLDS) return opts.orders.readSettled()
  return waitUntilUnloaded(opts, name)
}

/** A server that accepts an unload order keeps the adapter until the requests that use it have ended. */
async function waitUntilUnloaded (opts: LoadAdapterOptions, name: string): Promise<WeightsState | undefined> {
  return opts.orders.waitFor((state) => !listAdapters(state).includes(name), FIRST_POLL_DELAY_MS)
}

function listAdapters (state: WeightsState): string[] {
  return state.models.flatMap((model) => model.adapters.map((adapter) => nameWeights(model.name, adapter)))
}

// The name of a pending adapter may end with its version, as in model/adapter@1.
function isSameAdapter (pending: string, name: string): boolean {
  return pending.split('@', 1)[0] === name
}
