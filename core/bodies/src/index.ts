export { Framings, readFraming } from './readFraming.js'
export type { Framing } from './readFraming.js'
export { watchReset } from './watchReset.js'
