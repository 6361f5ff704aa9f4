import type { Policy } from '@pulleystack/config.settings'
import type { RandomSource } from '@pulleystack/core.clock'
import { dropFailing, listUsable } from '@pulleystack/routing.retries'
import type { Backend } from './Backend.js'
import { nameWeights } from './BackendEntry.js'
import type { PromptPart } from './PrefixMemory.js'

/** Generation that a request asks for. */
export interface GenerationDemand {
  model: string
  adapter: string | undefined
  promptTokens: number
  /** Tokens that will likely come out. */
  outputTokens: number
  parts: readonly PromptPart[]
}

/** What a backend server is wanted for. */
export interface BackendDemand {
  dataHall: string
  /** Servers that failed this request already. */
  excluded: ReadonlySet<string>
  generation: GenerationDemand | undefined
  /** Most requests at a time over the server's own slots that this request puts up with. */
  queueShare: number
  /** Prompt tokens that a server may have to read at a time, this request's among them; a server that reads nothing takes any prompt. */
  readingLimit: number
  /** It may run on no server where a request is under which a server has ended before. */
  mustBeApart?: boolean
}

/** Why no backend server was chosen. */
export const ChoiceFailures = {
  /** No server of the service is known, in use and not leaving. */
  NO_BACKEND: 'no-backend',
  /** No server holds the model or adapter. */
  NOT_RESIDENT: 'not-resident',
  /** All that hold it are full. */
  FULL: 'full',
  /** All that hold it have asked this instance for rest. */
  BACKING_OFF: 'backing-off',
  /** All that have room for it name limits that leave nothing at this moment. */
  LIMITED: 'limited',
  /** Some that hold it have room, but read so many prompts that one more would hold up the streams beside it. */
  READING: 'reading',
} as const
export type ChoiceFailure = typeof ChoiceFailures[keyof typeof ChoiceFailures]

/** A chosen backend server. */
export interface BackendChoice {
  backend: Backend
  /** Tokens of the prompt that it has likely read before. */
  keptTokens: number
}

/** Figures of a service's model servers that the choice uses. */
export interface ServingFigures {
  cacheTokens: number
  batchSlots: number
}

/** Prompt tokens that a server reads in a millisecond, beside streams; the users' sheets say 38 to 41 for an idle one. */
export const PREFILL_TOKENS_PER_MS = 30
/** Milliseconds by which each further request in the batch makes an answer later; streams took 1.9 s beside 48 and 1.6 s beside eight others. */
const BATCH_MS_PER_REQUEST = 4
/** Reading a prompt holds up every stream that runs beside it; each such stream counts this share of the reading time. A first choice. */
const HOLD_UP_SHARE = 0.04
/** Milliseconds by which a server in another data hall must be faster; twice the way there and back, for the bytes between halls cost too. */
const OTHER_HALL_MS = 4
/**
 * Milliseconds by which another server may be slower and is taken all the same when on this one a request runs under which a server has ended before:
 * it may take all that runs beside it along. A first choice, a little under what a short stream lasts.
 */
const SUSPECT_MS = 200
/** Share of the KV cache that running requests may come to fill; guesses of their length are off by more than the rest at times. */
const CACHE_SHARE = 0.92

/** Chooses the backend server that will likely answer first. */
export function chooseBackend (opts: {
  backends: readonly Backend[]
  demand: BackendDemand
  figures: ServingFigures | undefined
  random: RandomSource
  now: number
  policy: Policy
  /** Takes the server that would have been chosen if there were a right to send to it, as its limit asks for one. */
  onLacking?: (backend: Backend) => void
}): BackendChoice | ChoiceFailure {
  const { demand, now } = opts
  const present = opts.backends.filter((backend) => backend.isStaying(now))
  if (present.length === 0) return ChoiceFailures.NO_BACKEND
  const { generation } = demand
  const holding = generation ? present.filter((backend) => backend.hasWeights(generation.model, generation.adapter)) : present
  if (holding.length === 0) return ChoiceFailures.NOT_RESIDENT
  const rested = holding.filter((backend) => !backend.stated.backoff.isActive(now))
  if (rested.length === 0) return ChoiceFailures.BACKING_OFF
  const usable = listUsable(rested.map((backend) => ({ backend, outlier: backend.outlier, isSilent: () => false })), now).map((it) => it.backend)
  const fresh = usable.filter((backend) => !demand.excluded.has(backend.id))
  if (fresh.length === 0 && rested.length < holding.length) return ChoiceFailures.BACKING_OFF
  if (fresh.length === 0) return generation ? ChoiceFailures.NOT_RESIDENT : ChoiceFailures.NO_BACKEND
  const sound = opts.policy.failureAvoidance ? dropFailing(fresh, now) : fresh
  const judged = sound.map((backend) => rateBackend(backend, opts))
  const rated = judged.filter((it) => typeof it === 'object')
  if (rated.length === 0) return judged.includes(ChoiceFailures.READING) ? ChoiceFailures.READING : ChoiceFailures.FULL
  const best = findCheapest(rated.filter((it) => !it.lacksPermit))
  const lacking = findCheapest(rated.filter((it) => it.lacksPermit))
  if (lacking && (!best || lacking.cost < best.cost)) opts.onLacking?.(lacking.backend)
  return best ?? ChoiceFailures.LIMITED
}

function findCheapest (rated: readonly RatedBackend[]): RatedBackend | undefined {
  return rated.reduce<RatedBackend | undefined>((best, it) => best && best.cost <= it.cost ? best : it, undefined)
}

interface RatedBackend extends BackendChoice {
  cost: number
  /** It names a limit, and no right to send to it is at hand. */
  lacksPermit: boolean
}

interface RateOptions {
  demand: BackendDemand
  figures: ServingFigures | undefined
  random: RandomSource
  now: number
  policy: Policy
}

/** What a server would cost the request, or why it can't take it. */
function rateBackend (backend: Backend, opts: RateOptions): RatedBackend | ChoiceFailure {
  const { demand, figures } = opts
  const load = backend.readLoad()
  if (demand.mustBeApart && load.suspects > 0) return ChoiceFailures.FULL
  if (!backend.stated.backoff.hasCredit()) return ChoiceFailures.FULL
  const { limit, permits } = backend.stated
  const lacksPermit = limit.perSecond !== undefined && permits.count(opts.now) === 0
  const permitMs = lacksPermit ? Math.max(0, permits.expectedAt - opts.now) : 0
  const suspectMs = load.suspects * SUSPECT_MS
  const hallMs = backend.entry.dataHall === demand.dataHall ? 0 : OTHER_HALL_MS
  // A fraction of a millisecond at random keeps equal servers from being chosen in step by all instances.
  const jitter = opts.random.readFraction()
  if (!demand.generation || !figures) {
    if (load.running >= backend.entry.slots * (1 + demand.queueShare)) return ChoiceFailures.FULL
    const loadMs = load.running * 1000 / backend.entry.slots
    return { backend, keptTokens: 0, lacksPermit, cost: loadMs + hallMs + permitMs + suspectMs + jitter }
  }
  const { generation } = demand
  const weights = nameWeights(generation.model, generation.adapter)
  const keptTokens = opts.policy.prefixAffinity ? backend.prefixes.countKept(weights, generation.parts) : 0
  if (load.running >= figures.batchSlots) return ChoiceFailures.FULL
  const needed = generation.promptTokens + generation.outputTokens
  if (load.running > 0 && load.cacheTokens + needed > figures.cacheTokens * CACHE_SHARE) return ChoiceFailures.FULL
  const unread = generation.promptTokens - keptTokens
  const readingLimit = demand.readingLimit * (opts.policy.learnedReading ? backend.readingShare.value : 1)
  // A long prompt counts for half of the limit at most; beside a stream of short ones it would else never find room.
  if (load.prefillTokens > 0 && load.prefillTokens + Math.min(unread, readingLimit / 2) > readingLimit) return ChoiceFailures.READING
  const ownMs = unread / PREFILL_TOKENS_PER_MS
  const waitMs = load.prefillTokens / PREFILL_TOKENS_PER_MS
  const batchMs = load.running * (BATCH_MS_PER_REQUEST + ownMs * HOLD_UP_SHARE)
  return { backend, keptTokens, lacksPermit, cost: waitMs + ownMs + batchMs + hallMs + permitMs + suspectMs + jitter }
}
