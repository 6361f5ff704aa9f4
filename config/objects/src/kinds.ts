/** Kinds that operators write. The system's own kinds live in the packages that use them. */
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

/** The two classes of work: what must be answered at once, and what may wait but arrives once and whole. */
export const ServiceClasses = { LOOKUP: 'lookup', WORK: 'work' } as const
export type ServiceClass = typeof ServiceClasses[keyof typeof ServiceClasses]

/** Objects of this name belong to those who run the pool, not to a partner. */
export const PLATFORM_PARTNER = 'platform'

const PREFIX = 'config'

/** The key under which the object API keeps an object. */
export function buildObjectKey (kind: string, partner: string, name: string): string {
  return `${PREFIX}/${kind}/${partner}/${name}`
}

/** Takes a key apart; undefined when it is not one of a configuration object. */
export function parseObjectKey (key: string): { kind: string, partner: string, name: string } | undefined {
  const [prefix, kind, partner, ...rest] = key.split('/')
  if (prefix !== PREFIX || !kind || !partner || rest.length !== 1) return undefined
  return { kind, partner, name: rest[0] as string }
}

/** Urgency of a class for engines that honour priorities; smaller goes first. */
export function getWorkClass (serviceClass: ServiceClass): number {
  return serviceClass === ServiceClasses.LOOKUP ? 0 : 1
}
