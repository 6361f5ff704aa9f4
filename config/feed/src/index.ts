export { CopyWatch } from './CopyWatch.js'
export { StoreFeed } from './StoreFeed.js'
export type { ListingFacts, StoreFeedOptions } from './StoreFeedOptions.js'
