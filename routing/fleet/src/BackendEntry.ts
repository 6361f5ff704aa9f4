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
  /** Version of the server's software; undefined if the entry names none. Streams go on only at the version that began them. */
  softwareVersion?: string
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
}

/** Identifies an incarnation of a server: one run of its process. */
export type ServerIncarnation = Pick<BackendEntry, 'id' | 'startedAt'>

/** The service and the software version of the server that sent a stream's first event. */
export interface StreamOrigin {
  service: string
  version: string
}

/** Returns the version of a server's software; empty if its entry names none. */
export function readSoftwareVersion ({ softwareVersion }: Pick<BackendEntry, 'softwareVersion'>): string {
  return softwareVersion ?? ''
}

/** Whether a server may get a request for which the version is required; any may without one. */
export function isOfVersion (entry: Pick<BackendEntry, 'softwareVersion'>, requiredVersion: string | undefined): boolean {
  return requiredVersion === undefined || readSoftwareVersion(entry) === requiredVersion
}

export function formatIncarnation ({ id, startedAt }: ServerIncarnation): string {
  return startedAt === undefined ? id : `${id}@${startedAt}`
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
