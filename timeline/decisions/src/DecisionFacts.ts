/** What each kind of line tells beside its time and instance. Times are milliseconds; `docs/log-lines.md` is made from this. */
export interface DecisionFacts {
  /** The process has started; it is not ready yet. */
  'started': { instance: string, dataHall: string, address: string }
  /** It was asked to stop. */
  'stopping': { inFlight: number }
  /** It ends, `ms` after it was asked; `cancelled` requests were ended at the last moment, answered or broken off; `cut` had not left even then. */
  'stopped': { cut: number, cancelled: number, ms: number }
  /** Settings were read again; refused ones change nothing. */
  'reloaded': { trigger: 'signal' | 'file', accepted: boolean, code?: string, reason?: string, graceMs?: number, directoryLifetimeMs?: number }
  /** The store does not answer for this kind of object; `revision` is the newest that is known, `code` and `reason` say how the call failed. */
  'dependency-lost': { dependency: string, prefix: string, revision: number | undefined, code: string, reason: string }
  /** It answers again, here or to a peer. */
  'dependency-regained': { dependency: string, prefix: string, revision: number | undefined }
  /** An answer showed that the store came back from an older copy: it is in `epoch`, and was in `former` before. */
  'store-restored': { epoch: number, former: number }
  /** The copy of this kind of object follows the store into another epoch, from `formerRevision` to `revision`; `changed` objects differ. */
  'copy-restored': { prefix: string, epoch: number, revision: number, formerEpoch: number, formerRevision: number, changed: number }
  /** A listing of the store was passed over, since it is of `epoch` and `revision` and the copy here of `heldEpoch` and `heldRevision`. */
  'listing-refused': { prefix: string, epoch: number, revision: number, heldEpoch: number, heldRevision: number }
  /** The copy was given up for a listing of the store, as several in a row were older than it: a peer had told of what the store never had. */
  'copy-reset': { prefix: string, epoch: number, revision: number, heldEpoch: number, heldRevision: number }
  /** A record of the system's own that the store had lost is there again: `instance`, `lease` or `suspect`. */
  'record-restored': { record: string, key: string }
  /** The copy of this kind of object was not confirmed for `ageMs`; `cause`: `store-lost`, `asking`, `gap` or `listening`. */
  'copy-stale': { prefix: string, ageMs: number | undefined, revision: number, isWatcher: boolean, cause: string }
  /** It is confirmed again; it was over the limit for `staleMs`. */
  'copy-current': { prefix: string, staleMs: number, revision: number }
  /** This instance watches the store for the others from now on, or no longer. */
  'watcher-changed': { prefix: string, isWatcher: boolean }
  /** A configuration is in force here from now on. */
  'config-applied': { version: number, revision: number, routes: number }
  /** A backend server is known. */
  'backend-added': BackendFacts
  /** Its entry changed. */
  'backend-changed': BackendFacts
  /** It is taken for gone. */
  'backend-removed': BackendFacts
  /** It failed too often and is left alone for a while. */
  'backend-ejected': { backend: string, address: string }
  /**
   * A server said of itself, in the head of an answer to this instance (`source`: `request`, `order` or `report`) or to another one (`peer`), that it leaves,
   * or that it wants nothing for `retryAfterMs`. What it has said before and what ends no later is not told again.
   */
  'backend-stated': { backend: string, address: string, source: string, leaving: boolean, retryAfterMs: number | undefined }
  /** A server named another limit of requests a second from all instances together, in an answer to this instance or to a `peer`; without one it names none. */
  'backend-limit-changed': { backend: string, address: string | undefined, source: string, peer?: string, limitPerSecond: number | undefined }
  /** It said something that can't be read, and that is passed over; `count` answers did since the last line. */
  'statement-unreadable': { backend: string, value: string, count: number }
  /** A link to another instance is up. */
  'peer-joined': { peer: string, incarnation: number }
  /** Nothing was heard of it for too long, or it closed the link. */
  'peer-lost': { peer: string }
  /**
   * An answer of the directory names others than the one before: `linked` of them by links of this instance, `told` by other instances only, whose
   * oldest list came `oldestListMs` ago.
   */
  'directory-changed': { added: readonly string[], removed: readonly string[], linked: number, told: number, oldestListMs: number | undefined }
  /** In about the last second `frames` messages to it were left out, since already `backlogBytes` waited to leave. */
  'frames-not-sent': { peer: string, frames: number, backlogBytes: number }
  /** Another instance orders models now. */
  'holder-changed': { holder: string, fence: number }
  /** This instance may soon order models. */
  'lease-taken': { fence: number }
  /** It may not any more. */
  'lease-lost': { fence: number }
  /** It leaves the lease to another, which must spare the servers that were ordered lately. */
  'lease-handed-over': { fence: number, ordered: readonly string[] }
  /** Not answered whole when a stop cancels what it has (`cancel`) or ends (`exit`); `state`: reading, waiting, sent, streaming, paused or answered. */
  'request-at-stop': {
    moment: 'cancel' | 'exit'
    request: string | undefined
    route: string | undefined
    ageMs: number
    state: string
    hasBegun: boolean
    events: number
  }
  /**
   * No place at once: `full`, `reading`, `limited` (the limits that servers name leave nothing now), `backing-off` (all want rest), `not-resident` or
   * `no-backend`; `waiting` requests wait here.
   */
  'request-waiting': { request: string, service: string, weights: string | undefined, reason: string, waiting: number }
  /** Limits that servers name held the request back: the limits, when they were said last and to whom, and when it may go on at the soonest. */
  'limit-reached': { request: string, limits: readonly ReachedLimit[], expectedMs: number }
  /** This instance stands by or has no configuration yet, and handed the request on to another one. */
  'request-relayed': { request: string | undefined, peer: string }
  /** The chosen server, what all instances have in hand there, how much of the prompt it has read, the time left, and the limit that it has named. */
  'attempt-sent': {
    request: string
    backend: string
    send: number
    running: number
    prefillTokens: number
    keptTokens: number
    leftMs: number
    limitPerSecond: number | undefined
  }
  /** `ran` says whether the request may have run. */
  'attempt-failed': { request: string, backend: string, send: number, code: string, ran: string, reason: string }
  /**
   * A connection broke and none comes up any more: the server ended under the request, `sentMs` after it was sent there; `identity` is the same
   * whenever the request comes again, and `ends` servers have ended under it since it last ended well.
   */
  'server-ended': { request: string, identity: string, backend: string, address: string, send: number, sentMs: number, events: number, ends: number }
  /** So many servers have ended under the request that it isn't sent to another: never (`refused`), or not beside another run of it (`alone`). */
  'suspect-refused': { request: string, identity: string, ends: number, verdict: string }
  /**
   * Whether another attempt may follow: `free`, `paid` or `denied`; `left` of the budget remained before it, of which `extra` does not come from
   * requests; the budget counts `instances` and this process has lived for `lifeMs`.
   */
  'retry-judged': { request: string, service: string, verdict: RetryVerdict, left: number, extra: number, instances: number, lifeMs: number }
  /** An object of the store names no backend server, as it can't be read; `count` of them were passed over since the last line. */
  'entry-unreadable': { key: string, revision: number, count: number }
  /** The request is beyond its team's quota; it would be inside after `retryAfterMs`. */
  'quota-refused': { request: string | undefined, team: string, units: number, retryAfterMs: number }
  /** The stream is taken up at another server behind event `after`. */
  'stream-resumed': { request: string, after: string | undefined }
  /** The final answer, and for streams when the first event came and the longest pause. */
  'request-ended': {
    request: string | undefined
    route: string
    service: string
    status: number
    code: string
    reason: string | undefined
    ms: number
    events?: number
    firstMs?: number
    longestPauseMs?: number
  }
  /** The holder begins a load, since at a server so much of the demand for the model finds no place; `victims` go first. */
  'load-planned': {
    backend: string
    model: string
    victims: readonly string[]
    fromStore: boolean
    requestsPerSecond: number
    places: number
    copies: number
  }
  /** An order to a server; it is taken only if the server still has this `sequence`. */
  'order-sent': OrderFacts & { sequence: number, fence: number }
  /** What became of it: `taken`, `holds`, `uncertain` or `refused`. */
  'order-settled': OrderFacts & { answer: string }
}

/** What was decided about another attempt. */
export type RetryVerdict = 'free' | 'paid' | 'denied'

interface BackendFacts {
  backend: string
  address: string
  draining: boolean
  models: readonly string[] | undefined
}

/** The limit of a server. */
export interface ReachedLimit {
  backend: string
  perSecond: number
  saidMsAgo: number
  /** The peer that heard it; left out when this instance did. */
  heardBy?: string
}

interface OrderFacts {
  backend: string
  action: string
  model: string
  adapter: string | undefined
}
