import type { ObjectStore } from '@pulleystack/backend.interfaces'
import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { BackendFleet } from '@pulleystack/routing.fleet'
import type { DecisionLog } from '@pulleystack/timeline.decisions'
import { ArchiveRemoval } from './ArchiveRemoval.js'
import { BaseWitness } from './BaseWitness.js'
import type { InvalidMessages } from './InvalidMessages.js'
import { LimitedStore } from './LimitedStore.js'
import { OriginArchive } from './OriginArchive.js'
import { PeerLosses } from './PeerLosses.js'
import { RecordedVersions } from './RecordedVersions.js'
import { SuspensionWatch } from './SuspensionWatch.js'
import { VersionArchive } from './VersionArchive.js'
import type { VersionHistory } from './VersionHistory.js'
import { MAX_RECORD_BYTES } from './VersionRecord.js'

/** Twice as much as the streams of an instance take with the longest ids. */
const MAX_ARCHIVE_BYTES = 1 << 20

export interface DurableOptions {
  store: ObjectStore
  fleet: BackendFleet
  /** Whether this instance has links to all others that may serve. */
  isLinkedToAll: () => boolean
}

export interface DurableParts extends DurableOptions {
  clock: Clock
  network: PeerNetwork
  versions: VersionHistory
  invalid: InvalidMessages
  log: DecisionLog
  instance: string
  listServing: () => readonly string[]
}

/** What must be known of streams and versions after all instances ended at once. */
export class DurableOrigins {
  readonly recorded: RecordedVersions
  readonly archive: OriginArchive
  readonly witness: BaseWitness
  private readonly removal: ArchiveRemoval
  private readonly losses: PeerLosses
  private readonly suspensions: SuspensionWatch

  constructor (private readonly parts: DurableParts) {
    const { clock, log, versions } = parts
    const store = new LimitedStore(parts.store, MAX_ARCHIVE_BYTES)
    const records = new LimitedStore(parts.store, MAX_RECORD_BYTES)
    const losses = this.losses = new PeerLosses(clock)
    this.suspensions = new SuspensionWatch(clock)
    const isLinkedToAll = (): boolean => this.isLinkedToAll
    const witness = this.witness = new BaseWitness({ ...parts, losses, isLinkedToAll })
    this.recorded = new RecordedVersions({ ...parts, witness, losses, isLinkedToAll, archive: new VersionArchive(records, log) })
    this.archive = new OriginArchive({ ...parts, store, isMixed: (services) => versions.isMixed(...services) || !this.recorded.hasAllVersions(services) })
    this.removal = new ArchiveRemoval({ ...parts, store, mayHaveObjects: () => this.archive.hasObject || versions.listMixed().length > 0 })
  }

  /** Whether others tell this instance of all news, so that its records are up to date. */
  get isLinkedToAll (): boolean {
    return this.parts.isLinkedToAll() && !this.suspensions.isCatchingUp
  }

  start (signal: AbortSignal): void {
    this.losses.start(this.parts.network, signal)
    this.suspensions.start(signal)
    this.witness.start(signal)
    this.recorded.start(signal)
    this.archive.start(signal)
    this.removal.start(signal)
  }
}
