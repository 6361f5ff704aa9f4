import type { PulleystackError } from '@pulleystack/core.errors'
import type { Result } from 'neverthrow'

/** What an instance in the platform's list does. */
export const InstanceRoles = { ENTRY: 'entry', ENGINE: 'engine', PLAIN: 'plain' } as const
export type InstanceRole = typeof InstanceRoles[keyof typeof InstanceRoles]

/** One instance as the platform lists it; the list lags by seconds. */
export interface ListedInstance {
  id: string
  role: InstanceRole
  /** host:port. */
  address: string
  region: string
  dataHall: string
  leaving: boolean
  /** Labels that the platform gives. */
  labels: Record<string, string>
  /** Engines: accelerator memory in bytes. */
  memoryBytes?: number
  /** Engines: whether fences of orders are checked. */
  checksFences?: boolean
  /** Entry instances: port for peers. */
  peerAddress?: string
  /** Plain servers: the service names they offer, as partner/name. */
  services?: string[]
}

export abstract class InstanceList {
  abstract listInstances (): Promise<Result<ListedInstance[], PulleystackError>>
}
