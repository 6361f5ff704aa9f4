/** Kinds of objects that operators write. */
export const Kinds = {
  SERVICE: 'Service',
  MODEL: 'Model',
  MODEL_VERSION: 'ModelVersion',
  ADAPTER: 'Adapter',
  CALLER: 'Caller',
  BACKEND_SERVER_LABELS: 'BackendServerLabels',
  QUOTA: 'Quota',
  ROUTE: 'Route',
} as const
export type Kind = typeof Kinds[keyof typeof Kinds]

/** Service classes: lookups need a fast response; work may wait, but must complete exactly once. */
export const ServiceClasses = { LOOKUP: 'lookup', WORK: 'work' } as const
export type ServiceClass = typeof ServiceClasses[keyof typeof ServiceClasses]

/** Partner name of objects that belong to the administrators of the pool. */
export const PLATFORM_PARTNER = 'platform'

const PREFIX = 'config'

/** Builds the key under which an object is stored. */
export function buildObjectKey (kind: string, partner: string, name: string): string {
  return `${PREFIX}/${kind}/${partner}/${name}`
}

/** Parses a key; returns undefined if it is not the key of a configuration object. */
export function parseObjectKey (key: string): { kind: string, partner: string, name: string } | undefined {
  const [prefix, kind, partner, ...rest] = key.split('/')
  if (prefix !== PREFIX || !kind || !partner || rest.length !== 1) return undefined
  return { kind, partner, name: rest[0] as string }
}

/** Priority of a service class for engines that support priorities; lower is more urgent. */
export function getPriority (serviceClass: ServiceClass): number {
  return serviceClass === ServiceClasses.LOOKUP ? 0 : 1
}
