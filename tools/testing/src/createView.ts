import type { Clock } from '@pulleystack/core.clock'
import type { PeerIdentity } from '@pulleystack/membership.peers'
import { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'

/** Creates the membership view of instance `self`, with all named instances listed and spread over three data halls. */
export function createView (clock: Clock, self: string, instanceNames: readonly string[]): { view: MembershipView, identity: PeerIdentity } {
  const listedInstances = instanceNames.map((name, i): ListedInstance => ({
    id: name,
    role: InstanceRoles.ENTRY,
    address: `${name}:1`,
    peerAddress: `${name}:2`,
    region: 'r',
    dataHall: `hall-${i % 3}`,
    leaving: false,
    labels: {},
  }))
  const ownEntry = listedInstances.find((it) => it.id === self) as ListedInstance
  const identity: PeerIdentity = {
    instance: self,
    incarnation: 1,
    address: ownEntry.address,
    peerAddress: ownEntry.peerAddress ?? '',
    region: ownEntry.region,
    dataHall: ownEntry.dataHall,
    leaving: false,
  }
  const view = new MembershipView({ clock, self: identity })
  view.applyList(listedInstances)
  return { view, identity }
}
