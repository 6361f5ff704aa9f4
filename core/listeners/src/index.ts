export { listenWhenFree } from './listenWhenFree.js'
export type { ListenOptions } from './listenWhenFree.js'
