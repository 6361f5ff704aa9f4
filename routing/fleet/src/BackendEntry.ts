/** A model in a server's accelerator memory. */
export interface ResidentModel {
  name: string
  adapters: readonly string[]
}

/** What a backend server says of itself. */
export interface BackendEntry {
  /** One server; a restart has another id, or the same one with another `startedAt`. */
  id: string
  /** Unix time of its start in milliseconds; undefined where servers don't tell it. */
  startedAt?: number
  service: string
  /** host:port; may be given to another server after this one has ended. */
  address: string
  dataHall: string
  /** Requests that it works on at a time. */
  slots: number
  /** It leaves and takes no new requests. */
  draining: boolean
  /** Models in accelerator memory; undefined for servers without models. */
  models: readonly ResidentModel[] | undefined
  /** Models of which copies lie in host memory or on disk. */
  inMemory: readonly string[]
  onDisk: readonly string[]
}

/** One life of a server, from a start to its end. */
export type ServerLife = Pick<BackendEntry, 'id' | 'startedAt'>

export function nameLife ({ id, startedAt }: ServerLife): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
}

/** The name of a model or, with an adapter, of the pair. */
export function nameWeights (model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

/** Whether a server has a model, and the adapter if one is named. */
export function hasWeights (entry: BackendEntry, model: string, adapter?: string): boolean {
  const held = entry.models?.find((it) => it.name === model)
  return held !== undefined && (adapter === undefined || held.adapters.includes(adapter))
}
