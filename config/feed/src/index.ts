export { StalenessMonitor } from './StalenessMonitor.js'
export { StoreFeed } from './StoreFeed.js'
export type { ListingInfo, StoreFeedOptions } from './StoreFeedOptions.js'
