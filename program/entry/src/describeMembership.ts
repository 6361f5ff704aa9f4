import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { LimitsStanding } from '@pulleystack/routing.limits'

/** How this instance stands among those that share rates. */
export function describeMembership (mesh: InstanceMesh): LimitsStanding {
  return {
    instance: mesh.self.instance,
    countInstances: () => mesh.countKnown(),
    isServing: () => isServing(mesh.self),
    listServing: () => listServing(mesh),
  }
}

/** The other instances that serve and have a live link. */
export function listServing (mesh: InstanceMesh): string[] {
  return mesh.listLive().filter(isServing).map((identity) => identity.instance)
}
