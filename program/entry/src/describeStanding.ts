import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { LimitsMembership } from '@pulleystack/routing.limits'

/** How this instance stands among those that share rates. */
export function describeStanding (mesh: InstanceMesh): LimitsMembership {
  return {
    instance: mesh.self.instance,
    countInstances: () => mesh.countRegistered(),
    isServing: () => isServing(mesh.self),
    listServing: () => listServing(mesh),
  }
}

/** The other instances that serve and have a live link. */
export function listServing (mesh: InstanceMesh): string[] {
  return mesh.listLinked().filter(isServing).map((identity) => identity.instance)
}
