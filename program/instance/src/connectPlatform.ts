import type { Settings } from '@pulleystack/config.settings'
import { HttpEngineClient, HttpInstanceList, HttpObjectStore, HttpServiceClient, HttpWeightStore } from '@pulleystack/backend.http'
import type { InstanceDependencies } from './startInstance.js'

/** Creates HTTP clients of the platform and the backend servers. */
export function connectPlatform (settings: Settings): Pick<InstanceDependencies, 'store' | 'list' | 'weights' | 'engines' | 'services'> {
  return {
    store: new HttpObjectStore({ address: settings.platform.objectApi }),
    list: new HttpInstanceList({ address: settings.platform.instanceList }),
    weights: new HttpWeightStore({ address: settings.platform.weightStore }),
    engines: new HttpEngineClient(),
    services: new HttpServiceClient(),
  }
}
