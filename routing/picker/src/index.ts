export { Picker } from './Picker.js'
export type { PickRequest, Pickable } from './Picker.js'
export { CostPicker } from './CostPicker.js'
export { LeastLoadPicker, RandomPicker, RoundRobinPicker } from './baselines.js'
