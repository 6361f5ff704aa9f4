export { RouteTable, chooseTarget } from './RouteTable.js'
export { RepeatModes } from './Route.js'
export type { ClientLimits, ModelServing, RepeatMode, Route, RouteTarget, RoutedService, RoutingConfig, ServedModel } from './Route.js'
