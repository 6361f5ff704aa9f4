/** Version of a model that has no ModelVersion object. */
export const BASE_VERSION = 'base'

/** Builds the name of a model version as an item in accelerator memory. */
export function buildModelItem (partner: string, model: string, version: string = BASE_VERSION): string {
  return `${partner}/${model}@${version}`
}

/** Builds the name of an adapter as an item in accelerator memory. */
export function buildAdapterItem (partner: string, adapter: string): string {
  return `${partner}/+${adapter}`
}

export function parseItem (item: string): { partner: string, model?: string, version?: string, adapter?: string } {
  const slash = item.indexOf('/')
  const partner = item.slice(0, slash)
  const rest = item.slice(slash + 1)
  if (rest.startsWith('+')) return { partner, adapter: rest.slice(1) }
  const at = rest.lastIndexOf('@')
  return { partner, model: rest.slice(0, at), version: rest.slice(at + 1) }
}
