import type { Backend, PathVerdict } from '@pulleystack/routing.fleet'

/** Judges why connections to a backend server fail. */
export abstract class PathChecker {
  /** Resolves with the verdict on a server to which a connection just failed, and records it. Concurrent checks of a server share one. */
  abstract check (backend: Backend): Promise<PathVerdict>
  /** Resolves with the verdict on a server that is silent or closed a connection; undefined if it accepts connections. */
  abstract inspect (backend: Backend): Promise<PathVerdict | undefined>
}
