import type { Policy } from '@pulleystack/config.settings'
import type { RandomSource } from '@pulleystack/core.clock'
import { dropFailing, listUsable } from '@pulleystack/routing.retries'
import { DEFAULT_PACE, expectFirstEventMs, type PaceEstimate } from '@pulleystack/routing.pace'
import type { Backend } from './Backend.js'
import { isOfVersion, nameWeights, readSoftwareVersion } from './BackendEntry.js'
import { chooseByPace, computePacedLimit, computePickWeight, type ServerPaces } from './chooseByPace.js'
import type { LoadTally } from './LoadTally.js'
import type { PromptPart } from './PrefixTracker.js'

/** The generation that a request asks for. */
export interface GenerationDemand {
  model: string
  adapter: string | undefined
  promptTokens: number
  /** Expected number of generated tokens. */
  outputTokens: number
  parts: readonly PromptPart[]
}

/** Requirements of a request on its backend server. */
export interface BackendDemand {
  dataHall: string
  /** Servers at which this request already failed. */
  excluded: ReadonlySet<string>
  generation: GenerationDemand | undefined
  /** How many requests a server may have beyond its slots, as a share of the slots. */
  overcommitShare: number
  /** Most prompt tokens that a server may have yet to process, including this request's; an idle server accepts any prompt. */
  prefillLimit: number
  /** Longest pause between events that the route allows, in milliseconds; with pace estimates it sets the limit of each server. */
  longestPauseMs?: number
  /** Excludes servers that run a request during which a server crashed before. */
  mustAvoidSuspects?: boolean
  /** Monotonic times until which servers have no room for this request, by id. */
  deniedUntil?: ReadonlyMap<string, number>
  /** Whether servers get no more requests than they have slots, as they may fall over when they have to reject some. */
  isBrittle?: boolean
  /** Whether another instance could take the request to a server that this one can't reach. */
  mayForward?: boolean
  /** Whether a server that fails often is better than a wait. */
  mayFail?: boolean
  /** Excludes servers of any other software version. */
  requiredVersion?: string
  /** Software versions at whose servers the request would have to wait although they have room; others with room are preferred. */
  delayedVersions?: ReadonlySet<string>
}

export const ChoiceFailures = {
  /** No server of the service is known, reachable and not draining. */
  NO_BACKEND: 'no-backend',
  /** A software version is required, and every server of it drains or has failed this request. */
  VERSION_GONE: 'version-gone',
  /** Servers with the model can be reached by other instances only. */
  PATH_LOST: 'path-lost',
  /** No server has the model or adapter. */
  NOT_RESIDENT: 'not-resident',
  /** All servers with the model are full. */
  FULL: 'full',
  /** All servers with the model asked this instance to back off. */
  BACKING_OFF: 'backing-off',
  /** All servers with room require a permit, and none is available. */
  LIMITED: 'limited',
  /** Servers with the model have room, but one more prompt would delay the streams running there. */
  PREFILLING: 'reading',
} as const
export type ChoiceFailure = typeof ChoiceFailures[keyof typeof ChoiceFailures]

export interface BackendChoice {
  backend: Backend
  /** Prompt tokens that are likely in the server's cache. */
  cachedTokens: number
}

/** Capacity of the model servers of a service. */
export interface ServingCapacity {
  cacheTokens: number
  batchSlots: number
}

/** Prompt tokens that a server processes per millisecond beside running streams. */
export const PREFILL_TOKENS_PER_MS = 30
/** Milliseconds by which each further request in the batch delays a response; streams took 1.9 s beside 48 others and 1.6 s beside eight. */
const BATCH_MS_PER_REQUEST = 4
/** Share of a prompt's prefill time that counts for each stream delayed by it. */
const PREFILL_DELAY_SHARE = 0.04
/** Cost in milliseconds of using another data hall: twice the round-trip time, as traffic between halls is expensive. */
const OTHER_HALL_PENALTY_MS = 4
/** Cost in milliseconds of each suspect request at a server, which might crash it and fail the requests beside it. */
const SUSPECT_PENALTY_MS = 200
/** Share of the KV cache that running requests may use; the rest covers outputs that are longer than estimated. */
const MAX_CACHE_SHARE = 0.92

/** How a server is chosen. */
export interface ChoiceOptions extends RateOptions {
  backends: readonly Backend[]
  /** Called with the server that would have been chosen if a permit for it were available. */
  onPermitNeeded?: (backend: Backend) => void
}

/** Chooses the backend server with the lowest expected latency; with pace estimates, one of those with nearly the lowest. */
export function chooseBackend (opts: ChoiceOptions): BackendChoice | ChoiceFailure {
  const { demand, now } = opts
  const isPinned = demand.requiredVersion !== undefined
  const staying = opts.backends.filter(({ entry }) => !entry.draining && isOfVersion(entry, demand.requiredVersion))
  if (isPinned && staying.length === 0) return ChoiceFailures.VERSION_GONE
  const available = staying.filter((backend) => backend.isReachable(now))
  const { generation } = demand
  const hasNeededWeights = (backend: Backend): boolean => !generation || backend.hasWeights(generation.model, generation.adapter)
  const holders = available.filter(hasNeededWeights)
  const canForward = demand.mayForward === true && staying.some((backend) => backend.path.mayPeersReach && hasNeededWeights(backend))
  if (canForward && holders.every((backend) => demand.excluded.has(backend.id))) return ChoiceFailures.PATH_LOST
  if (available.length === 0) return ChoiceFailures.NO_BACKEND
  // Another copy of the weights can't help either.
  if (isPinned && staying.every((backend) => demand.excluded.has(backend.id))) return ChoiceFailures.VERSION_GONE
  if (holders.length === 0) return ChoiceFailures.NOT_RESIDENT
  const unreported = holders.filter((backend) => !backend.path.isReportedDown(now))
  const choice = unreported.length === 0 ? ChoiceFailures.NO_BACKEND : chooseAmong(unreported, opts)
  return typeof choice === 'string' && unreported.length < holders.length ? chooseAmong(holders, opts) : choice
}

/** Chooses among reachable servers that have the model. */
function chooseAmong (holders: readonly Backend[], opts: ChoiceOptions): BackendChoice | ChoiceFailure {
  const { demand, now } = opts
  const { generation } = demand
  const ready = holders.filter((backend) => !backend.reported.backoff.isActive(now))
  if (ready.length === 0) return ChoiceFailures.BACKING_OFF
  const usable = listUsable(ready.map((backend) => ({ backend, outlier: backend.outlier, isSilent: () => false })), now).map((it) => it.backend)
  const untried = usable.filter((backend) => !demand.excluded.has(backend.id))
  if (untried.length === 0 && ready.length < holders.length) return ChoiceFailures.BACKING_OFF
  if (untried.length === 0) return generation ? ChoiceFailures.NOT_RESIDENT : ChoiceFailures.NO_BACKEND
  const healthy = opts.policy.failureAvoidance ? dropFailing(untried, now) : untried
  const preferredRatings = healthy.map((backend) => rateBackend(backend, opts))
  const mustTryFailing = demand.mayFail === true && preferredRatings.every((it) => typeof it === 'string')
  const ratings = mustTryFailing ? untried.map((backend) => rateBackend(backend, opts)) : preferredRatings
  const eligible = ratings.filter((it) => typeof it === 'object')
  if (eligible.length === 0) return ratings.includes(ChoiceFailures.PREFILLING) ? ChoiceFailures.PREFILLING : ChoiceFailures.FULL
  const preferred = filterDelayed(eligible, demand)
  const withPermit = preferred.filter((it) => !it.lacksPermit)
  const isPaced = opts.paces !== undefined && generation !== undefined && opts.capacity !== undefined
  const best = isPaced ? chooseByPace(withPermit, { longestPauseMs: demand.longestPauseMs, random: opts.random }) : findCheapest(withPermit)
  const bestWithoutPermit = findCheapest(preferred.filter((it) => it.lacksPermit))
  if (bestWithoutPermit && (!best || bestWithoutPermit.costMs < best.costMs)) opts.onPermitNeeded?.(bestWithoutPermit.backend)
  return best ?? ChoiceFailures.LIMITED
}

/** Leaves out servers at which the request would have to wait, unless no other has room and a permit for it. */
function filterDelayed (eligible: readonly RatedBackend[], { delayedVersions }: BackendDemand): readonly RatedBackend[] {
  if (!delayedVersions?.size) return eligible
  const prompt = eligible.filter(({ backend }) => !delayedVersions.has(readSoftwareVersion(backend.entry)))
  return prompt.some(({ lacksPermit }) => !lacksPermit) ? prompt : eligible
}

function findCheapest (rated: readonly RatedBackend[]): RatedBackend | undefined {
  return rated.reduce<RatedBackend | undefined>((best, it) => best && best.costMs <= it.costMs ? best : it, undefined)
}

interface RatedBackend extends BackendChoice {
  costMs: number
  load: LoadTally
  /** Undefined without pace estimates, as is `weight`. */
  pace?: PaceEstimate
  weight?: number
  /** Whether it advertises a limit and no permit is available. */
  lacksPermit: boolean
}

interface RateOptions {
  demand: BackendDemand
  capacity: ServingCapacity | undefined
  random: RandomSource
  now: number
  policy: Policy
  /** Undefined if all servers are taken to have the same pace. */
  paces?: ServerPaces | undefined
}

/** The owner of a brittle server's ledger knows its slots; the loads that peers share would keep slots idle that were released a moment ago. */
function isFull ({ ownLoad, entry, reservationWindow }: Backend, load: LoadTally, demand: BackendDemand, maxRunning: number): boolean {
  if (!demand.isBrittle) return load.running >= maxRunning
  return !reservationWindow.isOpen || ownLoad.running >= Math.min(entry.slots, maxRunning)
}

/** Returns the cost in milliseconds of a server for the request, or why it can't take it. */
function rateBackend (backend: Backend, opts: RateOptions): RatedBackend | ChoiceFailure {
  const { demand, capacity } = opts
  if (opts.now < (demand.deniedUntil?.get(backend.id) ?? -Infinity)) return ChoiceFailures.FULL
  const denial = backend.readDenial(opts.now)
  if (denial) return denial
  const load = backend.readLoad()
  if (demand.mustAvoidSuspects && load.suspects > 0) return ChoiceFailures.FULL
  if (!backend.reported.backoff.hasAllowance()) return ChoiceFailures.FULL
  const { limit, permits } = backend.reported
  const lacksPermit = limit.perSecond !== undefined && permits.count(opts.now) === 0
  const permitMs = lacksPermit ? Math.max(0, permits.nextExpectedAt - opts.now) : 0
  const suspectMs = load.suspects * SUSPECT_PENALTY_MS
  const hallMs = backend.entry.dataHall === demand.dataHall ? 0 : OTHER_HALL_PENALTY_MS
  // A random fraction of a millisecond keeps instances from choosing the same one of several equal servers.
  const jitter = opts.random.readFraction()
  if (!demand.generation || !capacity) {
    if (isFull(backend, load, demand, backend.entry.slots * (1 + demand.overcommitShare))) return ChoiceFailures.FULL
    const loadMs = load.running * 1000 / backend.entry.slots
    return { backend, load, cachedTokens: 0, lacksPermit, costMs: loadMs + hallMs + permitMs + suspectMs + jitter }
  }
  const { generation } = demand
  const weights = nameWeights(generation.model, generation.adapter)
  const cachedTokens = opts.policy.prefixAffinity ? backend.cachedPrefixes.countCachedTokens(weights, generation.parts) : 0
  if (isFull(backend, load, demand, capacity.batchSlots)) return ChoiceFailures.FULL
  const neededTokens = generation.promptTokens + generation.outputTokens
  if (load.running > 0 && load.cacheTokens + neededTokens > capacity.cacheTokens * MAX_CACHE_SHARE) return ChoiceFailures.FULL
  const uncachedTokens = generation.promptTokens - cachedTokens
  const pace = opts.paces?.read(backend.id, opts.now)
  const prefillLimit = computePacedLimit(demand, pace) * (opts.policy.learnedReading ? backend.prefillShare.value : 1)
  // A long prompt counts for at most half of the limit; otherwise a stream of short prompts would starve it.
  if (load.prefillTokens > 0 && load.prefillTokens + Math.min(uncachedTokens, prefillLimit / 2) > prefillLimit) return ChoiceFailures.PREFILLING
  const prefillMs = uncachedTokens / (pace?.tokensPerMs ?? PREFILL_TOKENS_PER_MS)
  const queuedPrefillMs = load.prefillTokens / PREFILL_TOKENS_PER_MS
  const firstEventMs = pace ? expectFirstEventMs({ estimate: pace, aheadTokens: load.prefillTokens, readTokens: uncachedTokens }) : queuedPrefillMs + prefillMs
  const requestMs = BATCH_MS_PER_REQUEST * (pace ? pace.eventMs / DEFAULT_PACE.eventMs : 1)
  const batchMs = load.running * (requestMs + prefillMs * PREFILL_DELAY_SHARE)
  const costMs = firstEventMs + batchMs + hallMs + permitMs + suspectMs + jitter
  if (!pace) return { backend, load, cachedTokens, lacksPermit, costMs }
  const { promptTokens } = generation
  const weight = computePickWeight({ pace, load, batchSlots: capacity.batchSlots, prefillLimit, promptTokens, uncachedTokens })
  return { backend, load, pace, weight, cachedTokens, lacksPermit, costMs }
}
