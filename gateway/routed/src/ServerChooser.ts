import type { Policy } from '@pulleystack/config.settings'
import type { Clock, RandomSource } from '@pulleystack/core.clock'
import { PREFILL_TOKENS_PER_MS, chooseBackend, type Backend, type BackendChoice, type BackendFleet, type ChoiceFailure } from '@pulleystack/routing.fleet'
import type { StreamOrigins } from '@pulleystack/routing.origins'
import { findPaces } from './findPaces.js'
import { findRequiredVersion } from './findRequiredVersion.js'
import type { PeerForwarder } from './PeerForwarder.js'
import { isResumable, type RoutedWork } from './RoutedWork.js'

/** Requests that may be queued at a server without generation beyond its slots, as a share of the slots. */
const QUEUE_SHARE = 1.5
/** Share of a route's longest pause for which prompts may be processed beside streams; late ones had a median of 12 within 200 ms, others 6. */
const PREFILL_PAUSE_SHARE = 0.5

export interface ServerChooserOptions {
  clock: Clock
  random: RandomSource
  fleet: BackendFleet
  /** Undefined where other instances can't take requests to servers that this one can't reach. */
  forwarder?: Pick<PeerForwarder, 'mayForward'>
  /** Undefined where streams begin at any version at once. */
  origins?: Pick<StreamOrigins, 'listUnrecorded'>
  dataHall: string
  policy: Policy
}

export interface ChooseOptions {
  /** Prompt tokens that a server may have yet to process; by the route unless given. */
  prefillLimit?: number
  /** Ids of servers that must not be chosen; those that failed the request unless given. */
  excluded?: ReadonlySet<string>
  /** Requests that a server without generation may have beyond its slots, as a share of the slots. */
  overcommitShare?: number
  /** Called with the server that would have been chosen if a permit for it were available. */
  onPermitNeeded?: (backend: Backend) => void
}

/** Chooses servers for requests by their routes and the state of the fleet. */
export class ServerChooser {
  constructor (private readonly opts: ServerChooserOptions) {}

  choose (work: RoutedWork, opts: ChooseOptions = {}): BackendChoice | ChoiceFailure {
    const { prefillLimit = this.computePrefillLimit(work), excluded = work.excluded, overcommitShare = QUEUE_SHARE, onPermitNeeded } = opts
    return chooseBackend({
      backends: this.opts.fleet.list(work.service.name),
      demand: {
        dataHall: this.opts.dataHall,
        excluded,
        generation: work.generation,
        overcommitShare,
        prefillLimit,
        longestPauseMs: work.route.longestPauseMs,
        mustAvoidSuspects: work.mustAvoidSuspects,
        deniedUntil: work.deniedUntil,
        mayFail: work.hasAbandonedRun === true,
        isBrittle: this.isBrittle(work),
        mayForward: this.opts.forwarder?.mayForward(work),
        requiredVersion: findRequiredVersion(this.opts.fleet, work),
        delayedVersions: this.listDelayed(work),
      },
      capacity: work.service.serving,
      policy: this.opts.policy,
      paces: findPaces(this.opts, work.service),
      random: this.opts.random,
      now: this.opts.clock.readTime(),
      onPermitNeeded,
    })
  }

  /** Whether servers of the request's service get no more than they have slots for. */
  isBrittle ({ service }: RoutedWork): boolean {
    return this.opts.policy.brittleCare && this.opts.fleet.brittle.hasCare(service.name, this.opts.clock.readTime())
  }

  /** Versions at which a new stream would hold a slot until they are recorded. */
  private listDelayed (work: RoutedWork): ReadonlySet<string> | undefined {
    return work.origin || !isResumable(work) ? undefined : this.opts.origins?.listUnrecorded(work.service.name)
  }

  private computePrefillLimit (work: RoutedWork): number {
    const longestPauseMs = this.opts.policy.pacedReading ? work.route.longestPauseMs ?? Infinity : Infinity
    return longestPauseMs * PREFILL_PAUSE_SHARE * PREFILL_TOKENS_PER_MS
  }
}
