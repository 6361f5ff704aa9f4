import type { RandomSource } from '@pulleystack/core.clock'
import type { InstanceMesh } from '@pulleystack/membership.mesh'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import { BackendAgent, ServerProbe } from '@pulleystack/routing.forward'
import { ServerPaths } from '@pulleystack/routing.paths'
import { listServing } from './describeMembership.js'
import type { EntryParts } from './EntryParts.js'

export interface PathsParts extends EntryParts {
  random: RandomSource
  mesh: InstanceMesh
  network: PeerNetwork
  fleet: BackendFleet
  /** Called when a lost path works again. */
  onRestored: () => void
}

/** Connections to backend servers, and what is known of the paths to them. */
export interface BackendPaths {
  agent: BackendAgent
  paths: ServerPaths
}

/** Starts to judge and probe the paths to backend servers until the signal is aborted. */
export function startPaths ({ deps, clock, random, log, mesh, network, fleet, onRestored }: PathsParts, signal: AbortSignal): BackendPaths {
  const agent = new BackendAgent(clock, deps.connector)
  const probe = new ServerProbe(clock, deps.connector)
  const paths = new ServerPaths({
    clock,
    random,
    network,
    fleet,
    probe,
    log,
    listPeers: () => listServing(mesh),
    onRestored: ({ entry }) => {
      // Connections from before may still be silent.
      agent.closeIdle(entry.address)
      onRestored()
    },
  })
  paths.start(signal)
  return { agent, paths }
}
