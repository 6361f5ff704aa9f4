import { isServing, type InstanceMesh } from '@pulleystack/membership.mesh'
import type { LimitsMembership } from '@pulleystack/routing.limits'

/** Describes this instance and the others that share rates with it. */
export function describeMembership (mesh: InstanceMesh): LimitsMembership {
  return {
    instance: mesh.self.instance,
    countInstances: () => mesh.countRegistered(),
    isServing: () => isServing(mesh.self),
    listServing: () => listServing(mesh),
  }
}

/** Lists the other serving instances with a live link. */
export function listServing (mesh: InstanceMesh): string[] {
  return mesh.listLinked().filter(isServing).map((identity) => identity.instance)
}
