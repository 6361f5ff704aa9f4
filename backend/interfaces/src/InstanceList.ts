import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** The role of an instance in the platform's list. */
export const InstanceRoles = { ENTRY: 'entry', ENGINE: 'engine', PLAIN: 'plain' } as const
export type InstanceRole = typeof InstanceRoles[keyof typeof InstanceRoles]

/** An entry of the platform's instance list, which may be out of date by seconds. */
export interface ListedInstance {
  id: string
  role: InstanceRole
  /** `host:port`. */
  address: string
  region: string
  dataHall: string
  leaving: boolean
  /** Labels assigned by the platform. */
  labels: Record<string, string>
  /** Engines: accelerator memory in bytes. */
  memoryBytes?: number
  /** Engines: whether the engine checks the fences of orders. */
  checksFences?: boolean
  /** Entry instances: port for peers. */
  peerAddress?: string
  /** Plain servers: names of the services they offer, as `partner/name`. */
  services?: string[]
}

export abstract class InstanceList {
  abstract listInstances (): Promise<Result<ListedInstance[], PulleystackError>>
}
