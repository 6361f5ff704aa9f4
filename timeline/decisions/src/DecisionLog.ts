import type { DecisionFacts } from './DecisionFacts.js'

/** Kinds of logged decisions; docs/log-lines.md lists their fields. */
export const DecisionKinds = {
  /** Process lifecycle, store and replicas. */
  STARTED: 'started',
  STOPPING: 'stopping',
  STOPPED: 'stopped',
  RELOADED: 'reloaded',
  SETTINGS_AWAITED: 'settings-awaited',
  LISTENER_FAILED: 'listener-failed',
  TASK_FAILED: 'task-failed',
  PROCESS_ENDED: 'process-ended',
  DEPENDENCY_LOST: 'dependency-lost',
  DEPENDENCY_REGAINED: 'dependency-regained',
  STORE_RESTORED: 'store-restored',
  COPY_RESTORED: 'copy-restored',
  LISTING_REFUSED: 'listing-refused',
  COPY_RESET: 'copy-reset',
  RECORD_RESTORED: 'record-restored',
  /** State of the instance: configuration, backend servers, peers and leases. */
  COPY_STALE: 'copy-stale',
  COPY_CURRENT: 'copy-current',
  WATCHER_CHANGED: 'watcher-changed',
  CONFIG_APPLIED: 'config-applied',
  BACKEND_ADDED: 'backend-added',
  BACKEND_CHANGED: 'backend-changed',
  BACKEND_REMOVED: 'backend-removed',
  BACKEND_EJECTED: 'backend-ejected',
  BACKEND_UNREACHABLE: 'backend-unreachable',
  BACKEND_REPORTED_DOWN: 'backend-reported-down',
  CUT_OFF: 'cut-off',
  RECONNECTED: 'reconnected',
  BACKEND_STATED: 'backend-stated',
  LIMIT_CHANGED: 'backend-limit-changed',
  SERVICE_BRITTLE: 'service-brittle',
  SERVICE_MIXED: 'service-mixed',
  STATEMENT_UNREADABLE: 'statement-unreadable',
  PACE_REFUSED: 'pace-refused',
  PEER_MESSAGE_INVALID: 'peer-message-invalid',
  PEER_JOINED: 'peer-joined',
  PEER_LOST: 'peer-lost',
  DIRECTORY_CHANGED: 'directory-changed',
  FRAMES_NOT_SENT: 'frames-not-sent',
  HOLDER_CHANGED: 'holder-changed',
  LEASE_TAKEN: 'lease-taken',
  LEASE_LOST: 'lease-lost',
  LEASE_HANDED_OVER: 'lease-handed-over',
  /** Handling of requests. */
  REQUEST_AT_STOP: 'request-at-stop',
  REQUEST_DROPPED: 'request-dropped',
  LIMIT_REACHED: 'limit-reached',
  REQUEST_WAITING: 'request-waiting',
  RESERVATION_DENIED: 'reservation-denied',
  RESERVATION_OWNER_SILENT: 'reservation-owner-silent',
  WEIGHTS_REJECTED: 'weights-rejected',
  REQUEST_RELAYED: 'request-relayed',
  PEER_EJECTED: 'peer-ejected',
  EVENT_LOOP_DELAYED: 'event-loop-delayed',
  REQUEST_FORWARDED: 'request-forwarded',
  FORWARD_FAILED: 'forward-failed',
  ATTEMPT_SENT: 'attempt-sent',
  ATTEMPT_FAILED: 'attempt-failed',
  SERVER_ENDED: 'server-ended',
  SUSPECT_REFUSED: 'suspect-refused',
  RETRY_JUDGED: 'retry-judged',
  ENTRY_UNREADABLE: 'entry-unreadable',
  QUOTA_REFUSED: 'quota-refused',
  STREAM_RESUMED: 'stream-resumed',
  STREAM_ORIGIN_FOUND: 'stream-origin-found',
  STREAM_ORIGIN_UNKNOWN: 'stream-origin-unknown',
  VERSIONS_RECORDED: 'versions-recorded',
  VERSION_UNCONFIRMED: 'version-unconfirmed',
  ORIGINS_UNSTORED: 'origins-unstored',
  STORED_RECORD_INVALID: 'stored-record-invalid',
  STREAM_ORIGIN_CONTRADICTED: 'stream-origin-contradicted',
  REQUEST_ENDED: 'request-ended',
  /** Placement of models. */
  LOAD_PLANNED: 'load-planned',
  ORDER_SENT: 'order-sent',
  ORDER_UNANSWERED: 'order-unanswered',
  ORDER_SETTLED: 'order-settled',
} as const
export type DecisionKind = typeof DecisionKinds[keyof typeof DecisionKinds]

/** Records decisions. Implementations must neither throw nor block. */
export abstract class DecisionLog {
  abstract record<Kind extends DecisionKind> (kind: Kind, facts: DecisionFacts[Kind]): void
}

/** Discards all lines. */
export class NullDecisionLog extends DecisionLog {
  record (): void {
    // Discarded.
  }
}
