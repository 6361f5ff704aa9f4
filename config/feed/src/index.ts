export { CopyWatch } from './CopyWatch.js'
export { StoreFeed } from './StoreFeed.js'
export type { StoreFeedOptions } from './StoreFeed.js'
