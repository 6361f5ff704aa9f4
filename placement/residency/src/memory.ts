import type { WeightsState } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'

/** Megabytes used by a server's models and adapters, including pending adapters; infinite when one of them is unknown. */
export function computeUsedMb (serving: ModelServing, state: Pick<WeightsState, 'models' | 'loadingAdapters'>): number {
  const models = new Map(serving.models.map((model) => [model.name, model]))
  const loadedMb = state.models.reduce((sum, { name, adapters }) => {
    const model = models.get(name)
    return model ? sum + model.weightsMb + adapters.length * model.adapterMb : Infinity
  }, 0)
  const pendingMb = state.loadingAdapters.reduce((sum, name) => sum + (models.get(name.split('/', 1)[0] as string)?.adapterMb ?? Infinity), 0)
  return loadedMb + pendingMb
}

/** Whether a model, or an adapter of it, fits into a server's free memory. */
export function hasRoom (serving: ModelServing, state: Pick<WeightsState, 'models' | 'loadingAdapters'>, model: string, isAdapter: boolean): boolean {
  const served = serving.models.find((it) => it.name === model)
  if (!served) return false
  return computeUsedMb(serving, state) + (isAdapter ? served.adapterMb : served.weightsMb) <= serving.weightsMb
}
