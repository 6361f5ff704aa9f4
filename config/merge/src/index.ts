export { mergeThreeWay, listDifferences } from './mergeThreeWay.js'
export type { Difference } from './mergeThreeWay.js'
