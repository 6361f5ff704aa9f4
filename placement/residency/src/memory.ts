import type { WeightsState } from '@pulleystack/backend.interfaces'
import type { ModelServing } from '@pulleystack/config.routes'

/** Megabytes that a server's models and adapters take, those on their way with them; infinite when one is not known. */
export function computeUsedMb (serving: ModelServing, state: Pick<WeightsState, 'models' | 'comingAdapters'>): number {
  const models = new Map(serving.models.map((model) => [model.name, model]))
  const held = state.models.reduce((sum, { name, adapters }) => {
    const model = models.get(name)
    return model ? sum + model.weightsMb + adapters.length * model.adapterMb : Infinity
  }, 0)
  const coming = state.comingAdapters.reduce((sum, name) => sum + (models.get(name.split('/', 1)[0] as string)?.adapterMb ?? Infinity), 0)
  return held + coming
}

/** Whether a model, or an adapter of it, fits beside what a server has. */
export function hasRoom (serving: ModelServing, state: Pick<WeightsState, 'models' | 'comingAdapters'>, model: string, isAdapter: boolean): boolean {
  const served = serving.models.find((it) => it.name === model)
  if (!served) return false
  return computeUsedMb(serving, state) + (isAdapter ? served.adapterMb : served.weightsMb) <= serving.weightsMb
}
