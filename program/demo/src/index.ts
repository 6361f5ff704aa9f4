export { runDemo } from './runDemo.js'
export { startStandIns } from './startStandIns.js'
export type { StandIns } from './startStandIns.js'
export { readExample } from './readExample.js'
