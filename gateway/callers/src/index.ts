export { CallerGateway } from './CallerGateway.js'
export type { CallerGatewayOptions, FinishedRequest } from './CallerGateway.js'
export { resolveModel, listAllowedModels, findAllowedService } from './resolveTarget.js'
