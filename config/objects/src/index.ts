export { Kinds, PLATFORM_PARTNER, buildObjectKey, parseObjectKey, getPriority, ServiceClasses } from './kinds.js'
export type { Kind, ServiceClass } from './kinds.js'
export { objectSchema, specSchemas, createObjectJsonSchema } from './schemas.js'
export type {
  AdapterSpec,
  BackendServerLabelsSpec,
  CallerSpec,
  ConfigObject,
  ModelSpec,
  ModelVersionSpec,
  QuotaSpec,
  ServiceSpec,
  SpecOf,
  RepeatRule,
  RouteSpec,
} from './schemas.js'
export { parseConfigObject } from './parseConfigObject.js'
export { BASE_VERSION, buildAdapterItem, buildModelItem, parseItem } from './items.js'
