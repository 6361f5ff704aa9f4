import { buildObjectKey, Kinds, type ConfigObject, type Kind } from '@pulleystack/config.objects'
import type { ConfigReplica } from './ConfigReplica.js'

/** Look-ups over what is in force, rebuilt lazily and only for what changed. */
export class ConfigIndex {
  private readonly objectsByKind = new Map<Kind, Map<string, ConfigObject>>()
  private readonly callersByHash = new Map<string, ConfigObject<'Caller'>>()

  constructor (private readonly replica: ConfigReplica) {
    for (const object of replica.listObjects()) this.addObject(object)
    replica.changes.subscribe((change) => {
      if (change.before) this.removeObject(change.before)
      if (change.after) this.addObject(change.after)
    })
  }

  findObject<K extends Kind> (kind: K, partner: string, name: string): ConfigObject<K> | undefined {
    return this.objectsByKind.get(kind)?.get(`${partner}/${name}`) as ConfigObject<K> | undefined
  }

  /** Lists the objects of a kind, of one partner or of all. */
  listObjects<K extends Kind> (kind: K, partner?: string): ConfigObject<K>[] {
    const all = [...this.objectsByKind.get(kind)?.values() ?? []] as ConfigObject<K>[]
    return partner === undefined ? all : all.filter((object) => object.partner === partner)
  }

  /** Finds the caller that has an access key with this hash. */
  findCaller (keyHash: string): ConfigObject<'Caller'> | undefined {
    return this.callersByHash.get(keyHash)
  }

  /** Finds the version of a model that serves requests without a version. */
  findActiveVersion (partner: string, model: string): ConfigObject<'ModelVersion'> | undefined {
    return this.listObjects(Kinds.MODEL_VERSION, partner).find((it) => it.spec.model === model && it.spec.active)
  }

  /** Labels of a backend server as one partner sees them: the platform's, overlaid with the partner's own. */
  readServerLabels (partner: string, server: string, platformLabels: Readonly<Record<string, string>>): Record<string, string> {
    const overlays = this.listObjects(Kinds.BACKEND_SERVER_LABELS, partner).filter((it) => it.spec.server === server)
    return Object.assign({}, platformLabels, ...overlays.map((it) => it.spec.serverLabels)) as Record<string, string>
  }

  getVersion (kind: Kind, partner: string, name: string): number {
    return this.replica.readVersion(buildObjectKey(kind, partner, name))
  }

  private addObject (object: ConfigObject): void {
    const names = this.objectsByKind.get(object.kind) ?? new Map<string, ConfigObject>()
    this.objectsByKind.set(object.kind, names)
    names.set(`${object.partner}/${object.name}`, object)
    if (object.kind !== Kinds.CALLER) return
    const caller = object as ConfigObject<'Caller'>
    for (const hash of caller.spec.keyHashes) this.callersByHash.set(hash, caller)
  }

  private removeObject (object: ConfigObject): void {
    this.objectsByKind.get(object.kind)?.delete(`${object.partner}/${object.name}`)
    if (object.kind !== Kinds.CALLER) return
    for (const hash of (object as ConfigObject<'Caller'>).spec.keyHashes) {
      if (this.callersByHash.get(hash)?.name === object.name && this.callersByHash.get(hash)?.partner === object.partner) this.callersByHash.delete(hash)
    }
  }
}
