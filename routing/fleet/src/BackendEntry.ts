/** A model in a server's accelerator memory. */
export interface ResidentModel {
  name: string
  adapters: readonly string[]
}

/** A backend server as described by its own entry in the store. */
export interface BackendEntry {
  /** A restarted server has another id, or the same id with another `startedAt`. */
  id: string
  /** Unix time of the start in milliseconds; undefined if the server doesn't report it. */
  startedAt?: number
  service: string
  /** host:port; may be reused by another server after this one has stopped. */
  address: string
  dataHall: string
  /** Number of requests that it processes at a time. */
  slots: number
  /** Whether the server is shutting down and takes no new requests. */
  draining: boolean
  /** Models in accelerator memory; undefined for servers without models. */
  models: readonly ResidentModel[] | undefined
  /** Models with a copy in host memory or on disk. */
  inMemory: readonly string[]
  onDisk: readonly string[]
  /** Version of the server's software; undefined if the entry names none. */
  softwareVersion?: string
}

/** Identifies an incarnation of a server: one run of its process. */
export type ServerIncarnation = Pick<BackendEntry, 'id' | 'startedAt'>

export function formatIncarnation ({ id, startedAt }: ServerIncarnation): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
}

/** Version of a server's software as its entry names it, '' if it names none. */
export function readSoftwareVersion ({ softwareVersion }: Pick<BackendEntry, 'softwareVersion'>): string {
  return softwareVersion ?? ''
}

/** Returns the name of a model, or of a model with an adapter. */
export function nameWeights (model: string, adapter: string | undefined): string {
  return adapter === undefined ? model : `${model}/${adapter}`
}

/** Whether a server has a model and, if given, the adapter. */
export function hasWeights (entry: BackendEntry, model: string, adapter?: string): boolean {
  const resident = entry.models?.find((it) => it.name === model)
  return resident !== undefined && (adapter === undefined || resident.adapters.includes(adapter))
}
