export { matchLabels } from './matchLabels.js'
export type { Labels, Selector } from './matchLabels.js'
