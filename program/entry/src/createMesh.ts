import { randomUUID } from 'node:crypto'
import { parseAddress } from '@pulleystack/core.addresses'
import type { RandomSource } from '@pulleystack/core.clock'
import { createLogger } from '@pulleystack/core.logging'
import { InstanceMesh } from '@pulleystack/membership.mesh'
import { WebSocketNetwork, type PeerIdentity } from '@pulleystack/membership.peers'
import { DecisionKinds } from '@pulleystack/timeline.decisions'
import type { EntryParts } from './EntryParts.js'

const HEARTBEAT_INTERVAL_MS = 1_000
const SUSPECT_AFTER_MS = 2_400
/** Time for instances that start together to find each other. */
const FIRST_START_SETTLE_MS = 2_500

/** Creates the peer network and the mesh that tracks which instances serve. */
export function createMesh (parts: EntryParts & { random: RandomSource }): { network: WebSocketNetwork, mesh: InstanceMesh } {
  const { settings, deps, clock, random, log } = parts
  const self: PeerIdentity = {
    instance: settings.instance,
    // Wall time gives a restarted instance a higher incarnation than peers still announce for its previous process run.
    incarnation: Math.floor(clock.readWallTime()),
    address: settings.clientAddress,
    peerAddress: settings.peerAddress,
    region: settings.region,
    dataHall: settings.dataHall,
    leaving: true,
    standby: true,
    capacity: settings.cores,
    forwardKey: randomUUID(),
  }
  const { host, port } = parseAddress(settings.peerAddress)
  const network = new WebSocketNetwork({
    clock,
    random,
    logger: createLogger({ name: settings.instance, level: 'error' }),
    host,
    port,
    readIdentity: () => self,
    findAddress: (instance) => mesh.findAddress(instance),
    heartbeatMs: HEARTBEAT_INTERVAL_MS,
    suspectAfterMs: SUSPECT_AFTER_MS,
    privateNetwork: true,
    maxUnidentified: settings.limits.unidentifiedPeers,
    onUnsent: (report) => log.record(DecisionKinds.FRAMES_NOT_SENT, report),
  })
  const { seeds, isFirstStart } = settings
  const settleMs = isFirstStart ? FIRST_START_SETTLE_MS : 0
  const mesh: InstanceMesh = new InstanceMesh({ clock, store: deps.store, network, log, self, seeds, isFirstStart, settleMs })
  return { network, mesh }
}
