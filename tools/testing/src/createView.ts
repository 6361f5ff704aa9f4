import type { Clock } from '@pulleystack/core.clock'
import type { PeerIdentity } from '@pulleystack/membership.peers'
import { MembershipView } from '@pulleystack/membership.view'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'

/** A view of a system of instances by name, spread over three data halls. */
export function createView (clock: Clock, self: string, names: readonly string[]): { view: MembershipView, identity: PeerIdentity } {
  const listed = names.map((name, i): ListedInstance => ({
    id: name,
    role: InstanceRoles.ENTRY,
    address: `${name}:1`,
    peerAddress: `${name}:2`,
    region: 'r',
    dataHall: `hall-${i % 3}`,
    leaving: false,
    labels: {},
  }))
  const own = listed.find((it) => it.id === self) as ListedInstance
  const identity: PeerIdentity = {
    instance: self,
    incarnation: 1,
    address: own.address,
    peerAddress: own.peerAddress ?? '',
    region: own.region,
    dataHall: own.dataHall,
    leaving: false,
  }
  const view = new MembershipView({ clock, self: identity })
  view.applyList(listed)
  return { view, identity }
}
