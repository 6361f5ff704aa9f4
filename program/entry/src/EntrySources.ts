import type { ObjectStore, RoutedProtocol, StoredObject, WeightsClient } from '@pulleystack/backend.interfaces'
import type { RoutingConfig } from '@pulleystack/config.routes'
import type { BackendEntry } from '@pulleystack/routing.fleet'

/** Where the routing configuration and the backend servers stand in the store, and how they are read. */
export interface EntrySources {
  configPrefix: string
  /** Undefined when the object is not the routing configuration. */
  readConfig: (object: StoredObject) => RoutingConfig | undefined
  backendPrefix: string
  /** Undefined when the object can't be read as a backend server. */
  readBackend: (object: StoredObject) => BackendEntry | undefined
}

/** What an entry instance takes from outside. */
export interface EntryDependencies {
  store: ObjectStore
  protocol: RoutedProtocol
  weights: WeightsClient
  sources: EntrySources
}
