/** Fields of each kind of log line, besides time and instance. Times are in milliseconds. `docs/log-lines.md` is generated from this. */
export interface DecisionFacts {
  /** The process has started, but is not ready yet. */
  'started': { instance: string, dataHall: string, address: string }
  /** The process was asked to stop; `inFlight` requests are running, and `open` client connections exist. */
  'stopping': { inFlight: number, open: number }
  /** The process exits, `ms` after it was asked to: `cancelled` requests were cancelled, `cut` stayed unfinished, `open` client connections are left. */
  'stopped': { cut: number, cancelled: number, ms: number, open: number }
  /** Settings were reloaded; rejected settings have no effect. */
  'reloaded': { trigger: 'signal' | 'file', accepted: boolean, code?: string, reason?: string, graceMs?: number, directoryLifetimeMs?: number }
  /** The process waits for a settings file that it can read. */
  'settings-awaited': { file: string, code: string, reason: string }
  /** The process waits for an address that is in use, or a listener failed later; it goes on in both cases. */
  'listener-failed': { address: string, code: string | undefined, reason: string }
  /** An error was handled nowhere else; a background task starts again. `failures` counts all of them since the start. Logged once a second for each reason. */
  'task-failed': { task: string, reason: string, stack: string | undefined, failures: number }
  /** The last line: why the process ends, and its exit code. */
  'process-ended': { code: number, reason: string }
  /** The store does not respond for this kind of object. `revision` is the newest known one; `code` and `reason` describe the failed call. */
  'dependency-lost': { dependency: string, prefix: string, revision: number | undefined, code: string, reason: string }
  /** The store responds again, to this instance or to a peer. */
  'dependency-regained': { dependency: string, prefix: string, revision: number | undefined }
  /** The store was restored from an older snapshot: it is now in epoch `epoch`, and was in `former` before. */
  'store-restored': { epoch: number, former: number }
  /** The local replica of this kind of object followed the store into another epoch; `changed` objects differ. */
  'copy-restored': { prefix: string, epoch: number, revision: number, formerEpoch: number, formerRevision: number, changed: number }
  /** A listing of the store with `epoch` and `revision` was ignored: the local replica is at `heldEpoch` and `heldRevision`. */
  'listing-refused': { prefix: string, epoch: number, revision: number, heldEpoch: number, heldRevision: number }
  /** The local replica was replaced by a listing of the store after several older listings in a row: a peer had sent data that the store never had. */
  'copy-reset': { prefix: string, epoch: number, revision: number, heldEpoch: number, heldRevision: number }
  /** An internal record that the store had lost was written again: `instance`, `lease` or `suspect`. */
  'record-restored': { record: string, key: string }
  /** The local replica of this kind of object was not confirmed to be current for `ageMs`; `cause`: `store-lost`, `asking`, `gap` or `listening`. */
  'copy-stale': { prefix: string, ageMs: number | undefined, revision: number, isWatcher: boolean, cause: string }
  /** The replica is confirmed to be current again; it was stale for `staleMs`. */
  'copy-current': { prefix: string, staleMs: number, revision: number }
  /** This instance started or stopped watching the store on behalf of the others. */
  'watcher-changed': { prefix: string, isWatcher: boolean }
  /** A configuration took effect on this instance. */
  'config-applied': { version: number, revision: number, routes: number }
  /** A backend server was added. */
  'backend-added': BackendFacts
  /** The entry of a backend server changed. */
  'backend-changed': BackendFacts
  /** A backend server is considered removed. */
  'backend-removed': BackendFacts
  /** A backend server is not used for a while because it failed too often. */
  'backend-ejected': { backend: string, address: string }
  /**
   * Connections to a backend server failed. `verdict`: `path-lost`, another instance reaches it; `server-down`, no instance reaches it that reaches others;
   * `unknown`, no instance that answered reaches any server. Of `asked` instances, `reached` reach the server and `unreached` don't though they reach others.
   */
  'backend-unreachable': { backend: string, address: string, verdict: string, asked: number, reached: number, unreached: number }
  /** A peer reports that a backend server is down, which this instance has not used recently; it prefers other servers for a moment. */
  'backend-reported-down': { backend: string, peer: string }
  /** This instance reaches no backend server, of which `backends` are known; others serve its requests if they can. */
  'cut-off': { backends: number }
  /** This instance reaches backend servers again, `forMs` after it was cut off. */
  'reconnected': { forMs: number }
  /**
   * A backend server reported that it is draining, or requested a backoff of `retryAfterMs`, in the headers of a response to this instance
   * (`source`: `request`, `order` or `report`) or to a `peer`. Repeated reports that extend nothing are not logged.
   */
  'backend-stated': { backend: string, address: string, source: string, leaving: boolean, retryAfterMs: number | undefined }
  /** A server changed its limit of requests per second from all instances, in a response to this instance or to a `peer`. Without a limit it is unlimited. */
  'backend-limit-changed': { backend: string, address: string | undefined, source: string, peer?: string, limitPerSecond: number | undefined }
  /**
   * A server of a service reported, to this instance or to a `peer`, that it falls over when it has to reject more than `tolerance` requests in a second. For
   * a minute after the last such report, no server of the service is sent more than it has slots for.
   */
  'service-brittle': { service: string, backend?: string, source: string, peer?: string, tolerance: number }
  /** Servers of several software versions have served a service within the last two minutes, so that a stream must go on at the version that began it. */
  'service-mixed': { service: string, versions: readonly string[] }
  /** A status reported by a backend server could not be parsed and was ignored; `count` responses had one since the last such line. */
  'statement-unreadable': { backend: string, value: string, count: number }
  /** A peer sent an impossible pace of a server, which was ignored; logged once for each link to the peer. Without `backend` no server could be read. */
  'pace-refused': { backend: string | undefined, peer: string, value: string }
  /** A peer sent a message on `channel` of which at least a part could not be read and was ignored; logged once for each link to the peer. */
  'peer-message-invalid': { peer: string, channel: string }
  /** A connection to another instance was established. */
  'peer-joined': { peer: string, incarnation: number }
  /** A peer closed its connection, or nothing was received from it for too long. */
  'peer-lost': { peer: string }
  /**
   * The directory lists other instances than before: `linked` of them are connected to this instance, `told` are known only through other instances,
   * whose oldest list was received `oldestListMs` ago.
   */
  'directory-changed': { added: readonly string[], removed: readonly string[], linked: number, told: number, oldestListMs: number | undefined }
  /** In about the last second, `frames` messages to a peer were dropped because `backlogBytes` were already waiting to be sent. */
  'frames-not-sent': { peer: string, frames: number, backlogBytes: number }
  /** Another instance now places models. */
  'holder-changed': { holder: string, fence: number }
  /**
   * This instance has acquired the lease and may soon place models. `origin`: `expired`, `released` or `handed-over`; `former`: the last holder that it heard
   * of; `heldOff`: servers that it leaves alone, because of orders of an earlier holder, and for how long.
   */
  'lease-taken': { fence: number, origin: string, former: string | undefined, heldOff: readonly (readonly [server: string, ms: number])[] }
  /** This instance has lost the lease and may no longer place models. */
  'lease-lost': { fence: number }
  /** This instance hands the lease over. The next holder must avoid the servers in `ordered`, which received orders recently. */
  'lease-handed-over': { fence: number, ordered: readonly string[] }
  /** A request that arrived after this instance had begun to close its connection is dropped; it has not run. */
  'request-dropped': { request: string | undefined }
  /** A request was unfinished when a stop cancelled requests (`cancel`) or exited (`exit`); `state`: reading, waiting, sent, streaming, paused or answered. */
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
   * A request has to wait for a slot: `full`, `reading`, `limited` (by the rate limits of servers), `backing-off` (all servers requested a backoff),
   * `not-resident` or `no-backend`. `waiting` requests wait on this instance.
   */
  'request-waiting': { request: string, service: string, weights: string | undefined, reason: string, waiting: number }
  /**
   * The owner of a server's ledger denied room for a request: `full`, `reading`, `reserved` for more urgent requests, or `share` of its team. Room is
   * expected in `retryAfterMs`; `running` and `prefillTokens` are the server's load from all instances.
   */
  'reservation-denied': {
    request: string
    backend: string
    reason: string
    retryAfterMs: number
    running: number
    prefillTokens: number
    team?: string
  }
  /** The owner of a ledger did not answer; it is not asked for a second, and requests are routed by the local view; those for brittle servers wait. */
  'reservation-owner-silent': { owner: string, backend: string }
  /**
   * A request was rejected without having run, as its weights will not be loaded in time (`late`), no load is planned (`not-planned`), or an announced
   * load is long overdue (`overdue`) or ended without success (`cancelled`). `expectedMs`: until the load is expected to be complete, or a load's duration.
   */
  'weights-rejected': { request: string, model: string | undefined, reason: string, waitedMs: number, expectedMs?: number }
  /** Rate limits of servers delay a request: the limits, when and by whom they were last received, and the earliest time it can be sent. */
  'limit-reached': { request: string, limits: readonly ReachedLimit[], expectedMs: number }
  /** This instance is on standby or has no configuration yet, and relayed the request to another one. It gives up after `leftMs`. */
  'request-relayed': { request: string | undefined, peer: string, leftMs: number }
  /** A peer let relayed requests run out of time, the last after `silentMs`; for a while, others are tried first. */
  'peer-ejected': { peer: string, silentMs: number }
  /** The event loop ran a timer `ms` late, as the process lacked processor time, was suspended, or computed for that long. Logged at most twice a second. */
  'event-loop-delayed': { ms: number }
  /** A request was sent to a `peer`, since this instance can't reach the servers that could run it; a stream goes on after event `after`. */
  'request-forwarded': { request: string | undefined, peer: string, after: string | undefined }
  /** A forwarded request was not answered by a server. `ran`: whether it may have run. */
  'forward-failed': { request: string | undefined, peer: string, code: string, ran: string, reason: string }
  /**
   * An attempt was sent: the server's software `version`, the model of a generation, the server's load from all instances, its cached tokens of the prompt,
   * the time left, and the limit that it has reported. A stream goes on after event `after`; the client says that request `resumes` began it.
   */
  'attempt-sent': {
    request: string
    backend: string
    send: number
    model: string | undefined
    running: number
    prefillTokens: number
    keptTokens: number
    leftMs: number
    limitPerSecond: number | undefined
    version?: string
    after?: string | undefined
    resumes?: string | undefined
  }
  /** An attempt failed; `ran` says whether the request may have run. */
  'attempt-failed': { request: string, backend: string, send: number, code: string, ran: string, reason: string }
  /**
   * A server crashed during a request, `sentMs` after the request was sent: its connection broke and no new one can be made. It had sent `events` of this
   * attempt's response. `identity` is the same for repeated requests, and `shared` lists what others have in common with it; `ends` servers have crashed
   * that may have done so because of one of these. `exclusive` tells whether no other run of what is suspected was in progress.
   */
  'server-ended': ServerEndedFacts
  /**
   * A suspect request was not sent because servers crashed during it or during others that share parts with it: for a long time (`refused`), or not while
   * another run of what is suspected is in progress (`alone`).
   */
  'suspect-refused': { request: string, identity: string, ends: number, verdict: string }
  /**
   * Whether another attempt is allowed: `free`, `paid` or `denied`. `left` of the retry budget remained before it, and `extra` is the part of it that
   * does not depend on requests. `instances` share the budget; this process has run for `lifeMs`.
   */
  'retry-judged': { request: string, service: string, verdict: RetryVerdict, left: number, extra: number, instances: number, lifeMs: number }
  /** An entry of a backend server in the store could not be parsed; `count` of them were ignored since the last such line. */
  'entry-unreadable': { key: string, revision: number, count: number }
  /** A request exceeds the quota of its team; it would fit after `retryAfterMs`. */
  'quota-refused': { request: string | undefined, team: string, units: number, retryAfterMs: number }
  /** A stream was resumed on another server, after event `after`. */
  'stream-resumed': { request: string, after: string | undefined }
  /**
   * The stream of request `stream`, which a client takes up again, began at this version. `source`: `record` (of this instance), `peer`, `archive` (the
   * store's record), `sole-version` (no record is needed, as all servers have one version) or `base-version` (no record can be missing, so that it began
   * before the service had several). This instance has observed the servers for `observedMs`.
   */
  'stream-origin-found': { stream: string | undefined, service: string, version: string, source: string, observedMs: number }
  /**
   * The software version that began the stream of request `stream` is not known, and `service` has several or none. `asked` instances were asked, of which
   * `silent` did not answer; `stream` is left out if it is missing or too long.
   */
  'stream-origin-unknown': { stream: string | undefined, service: string, versions: readonly string[], asked: number, silent: number }
  /**
   * The store has this record of the software versions at which streams of `service` may have begun; those `retired` are about to be removed, and recorded
   * again before streams begin there; `base` was the only one before the others came.
   */
  'versions-recorded': { service: string, versions: readonly string[], retired: readonly string[] | undefined, base: string | undefined }
  /** Streams begin at a version that could not be recorded in the store in time; should all instances end now, they may be refused or joined. */
  'version-unconfirmed': { service: string, version: string, waitedMs: number }
  /** The origins of streams could not be written to the store, or read from it, for the first time in a row. */
  'origins-unstored': { code: string }
  /** An object of the system's own in the store could not be parsed, or only in part. */
  'stored-record-invalid': { key: string }
  /** Another origin of a stream was recorded, or told by a `peer`, than the one already known, which stays. */
  'stream-origin-contradicted': { stream: string, service: string, version: string, otherService: string, otherVersion: string, peer: string | undefined }
  /**
   * The final response to a request; for streams also the time to the first event, the longest pause between events, the `framing` of the newest server
   * response (`length`, `chunked` or `close`), and its bytes after the last complete event.
   */
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
    framing?: string
    incompleteBytes?: number
  }
  /** The lease holder starts to load a model on a server because of unmet demand; the models in `victims` are unloaded first. */
  'load-planned': {
    backend: string
    model: string
    victims: readonly string[]
    fromStore: boolean
    requestsPerSecond: number
    places: number
    copies: number
  }
  /**
   * A copy of an order was handed to a connection to a server, which accepts it only if its sequence number is still `sequence`. An order without an answer is
   * sent again as another copy. `origin`: how the lease was acquired; `permitMs`: how long orders may be sent without another renewal, negative for orders that
   * other instances allowed during an outage of the store.
   */
  'order-sent': OrderFacts & { order: string, copy: number, sequence: number, fence: number, origin: string, permitMs: number }
  /** A copy of an order got no answer, and was given up after `ms`. It may still arrive if it was `written` to a connection. */
  'order-unanswered': { order: string, backend: string, ms: number, written: boolean, reason: string }
  /** The result of an order: `taken`, `holds`, `uncertain` or `refused`. */
  'order-settled': OrderFacts & { order: string, copies: number, ms: number, answer: string }
}

/** Whether another attempt is allowed. */
export type RetryVerdict = 'free' | 'paid' | 'denied'

interface BackendFacts {
  backend: string
  address: string
  draining: boolean
  models: readonly string[] | undefined
}

/** A rate limit that a server has reported. */
export interface ReachedLimit {
  backend: string
  perSecond: number
  saidMsAgo: number
  /** The peer that received the limit; omitted if this instance did. */
  heardBy?: string
}

interface OrderFacts {
  backend: string
  action: string
  model: string
  adapter: string | undefined
}

interface ServerEndedFacts {
  request: string
  identity: string
  backend: string
  address: string
  send: number
  sentMs: number
  events: number
  ends: number
  shared: string
  exclusive: boolean
}
