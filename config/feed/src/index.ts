export { CopyWatch } from './CopyWatch.js'
export { StoreFeed } from './StoreFeed.js'
export type { ListingInfo, StoreFeedOptions } from './StoreFeedOptions.js'
