import { createHash } from 'node:crypto'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { Clock } from '@pulleystack/core.clock'
import type { MembershipView } from '@pulleystack/membership.view'
import type { ClaimClient, ClaimRequest, KeptOutcome } from '@pulleystack/routing.claims'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'

const POLL_MS = 250
const MAX_POLL_MS = 2_000

export interface RunOnceOptions {
  clock: Clock
  claims: ClaimClient
  view: MembershipView
  ring: EventRing
}

export interface OnceRequest {
  request: string
  partner: string
  caller: string
  key: string
  method: string
  path: string
  body: Buffer
  deadline: number
  signal: AbortSignal
}

/**
 * Runs work under its Idempotency-Key: at most once over all instances. The first request claims the key, runs and
 * keeps its outcome; every other one gets that outcome. Errors that say `ran: no` free the key, all others keep it.
 */
export async function runOnce (opts: RunOnceOptions, once: OnceRequest, run: () => Promise<KeptOutcome>): Promise<KeptOutcome> {
  const claim = buildClaim(opts, once)
  const present = await takeClaim(opts, once, claim)
  if (present) return present
  try {
    const outcome = await run()
    opts.claims.keepOutcome(claim, outcome)
    return outcome
  } catch (thrown) {
    const error = convertToError(thrown)
    if (error.ran === Ran.NO) {
      opts.claims.release(claim)
      opts.ring.record(EventKinds.CLAIM_RELEASED, { request: once.request, partner: once.partner })
    }
    throw error
  }
}

function buildClaim (opts: RunOnceOptions, once: OnceRequest): ClaimRequest {
  const hash = createHash('sha256').update(`${once.method} ${once.path}\n`).update(once.body).digest('base64url')
  // Callers choose their keys, so that one caller's must never meet another's.
  const key = createHash('sha256').update(`${once.partner}/${once.caller}\n${once.key}`).digest('base64url')
  return { key, hash, request: once.request, instance: opts.view.self.instance }
}

/** Undefined when the key is ours and the work may run; else the outcome that stands, or an error. */
async function takeClaim (opts: RunOnceOptions, once: OnceRequest, claim: ClaimRequest): Promise<KeptOutcome | undefined> {
  for (let pollMs = POLL_MS; ; pollMs = Math.min(MAX_POLL_MS, pollMs * 2)) {
    const decision = await askForClaim(opts, once, claim)
    if (decision.kind === 'mismatch') {
      throw new PulleystackError('KEY_REUSED', 'This Idempotency-Key was used with another request', { field: 'idempotency-key', hint: 'Use a fresh key for each new request.' })
    }
    if (decision.kind === 'granted') {
      opts.ring.record(EventKinds.CLAIM_COMMITTED, { request: once.request, partner: once.partner })
      checkDeadline(opts, once, claim)
      return undefined
    }
    if (decision.outcome) {
      opts.ring.record(EventKinds.CLAIM_REPEATED, { request: once.request, partner: once.partner, note: `first was ${decision.request}` })
      return checkKept(decision.outcome)
    }
    await waitForOutcome(opts, once, decision.instance, pollMs)
  }
}

async function askForClaim (opts: RunOnceOptions, once: OnceRequest, claim: ClaimRequest) {
  try {
    return await opts.claims.claim(claim, once.deadline)
  } catch (thrown) {
    // The claim may have been written all the same; nothing was sent, so it must not block the key.
    opts.claims.release(claim)
    throw thrown
  }
}

function checkDeadline (opts: RunOnceOptions, once: OnceRequest, claim: ClaimRequest): void {
  if (opts.clock.readTime() < once.deadline && !once.signal.aborted) return
  opts.claims.release(claim)
  throw new PulleystackError('DEADLINE_NOT_RUN', 'The deadline passed while the claim was written')
}

async function waitForOutcome (opts: RunOnceOptions, once: OnceRequest, instance: string, pollMs: number): Promise<void> {
  const holder = opts.view.findMember(instance)
  if (!holder || holder.state === 'suspect') {
    throw new PulleystackError('CLAIM_OUTCOME_UNKNOWN', 'The instance that took this request is gone; whether it ran is not known', {
      hint: 'It will not run again under this key.',
    })
  }
  if (opts.clock.readTime() + pollMs >= once.deadline) {
    throw new PulleystackError('CLAIM_IN_PROGRESS', 'The first request with this Idempotency-Key is still running', { retryAfterSeconds: 2 })
  }
  await opts.clock.wait(pollMs, once.signal)
  if (once.signal.aborted) throw new PulleystackError('CALLER_GONE', 'The caller went away')
}

function checkKept (outcome: KeptOutcome): KeptOutcome {
  if (outcome.body !== undefined) return outcome
  throw new PulleystackError('CLAIM_OUTCOME_TOO_LARGE', `The first request ran and was answered with status ${outcome.status}; the answer was too large to keep`)
}
