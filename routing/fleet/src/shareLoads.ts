import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from './BackendFleet.js'
import type { LoadTally } from './LoadTally.js'

/** What one instance has in hand at each server where it has something. */
export interface SharedLoads {
  loads: [backend: string, running: number, prefillTokens: number, cacheTokens: number][]
}

const LOADS = defineChannel<SharedLoads>('fleet.loads')
const SHARE_MS = 100

/** Tells the other instances what this one has in hand, when it changed, and takes what they tell. */
export function shareLoads (opts: { clock: Clock, network: PeerNetwork, fleet: BackendFleet, onChange: () => void }, signal: AbortSignal): void {
  const { network, fleet } = opts
  const subscriptions = [
    network.receive(LOADS).subscribe(({ from, body }) => {
      fleet.applyPeerLoads(from, readTallies(body))
      opts.onChange()
    }),
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'silent') fleet.applyPeerLoads(event.instance, new Map())
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()), { once: true })
  void keepSharing(opts, signal)
}

async function keepSharing (opts: { clock: Clock, network: PeerNetwork, fleet: BackendFleet }, signal: AbortSignal): Promise<void> {
  let told = ''
  let toldTo = 0
  while (!signal.aborted) {
    await opts.clock.wait(SHARE_MS, signal)
    const shared = buildLoads(opts.fleet)
    const text = JSON.stringify(shared.loads)
    const peers = opts.network.listLinked().length
    if (text === told && peers === toldTo) continue
    told = text
    toldTo = peers
    opts.network.broadcast(LOADS, shared)
  }
}

function readTallies (shared: SharedLoads): Map<string, LoadTally> {
  return new Map(shared.loads.map(([backend, running, prefillTokens, cacheTokens]) => [backend, { running, prefillTokens, cacheTokens }]))
}

function buildLoads (fleet: BackendFleet): SharedLoads {
  const busy = fleet.listAll().filter((backend) => backend.own.running > 0)
  return { loads: busy.map(({ id, own }) => [id, own.running, own.prefillTokens, own.cacheTokens]) }
}
