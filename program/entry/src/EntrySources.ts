import type { ObjectStore, RoutedProtocol, StoredObject, WeightsClient } from '@pulleystack/backend.interfaces'
import type { RoutingConfig } from '@pulleystack/config.routes'
import type { BackendEntry } from '@pulleystack/routing.fleet'
import type { Connector } from '@pulleystack/routing.forward'

/** Locations of the routing configuration and the backend servers in the store, and their parsers. */
export interface EntrySources {
  configPrefix: string
  /** Undefined if the object is not a routing configuration. */
  readConfig: (object: StoredObject) => RoutingConfig | undefined
  backendPrefix: string
  /** Undefined if the object is not a valid backend server entry. */
  readBackend: (object: StoredObject) => BackendEntry | undefined
}

/** External dependencies of an entry instance. */
export interface EntryDependencies {
  store: ObjectStore
  protocol: RoutedProtocol
  weights: WeightsClient
  sources: EntrySources
  /** Opens connections to backend servers; over TCP if omitted. */
  connector?: Connector
}
