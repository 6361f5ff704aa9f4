import { createHash } from 'node:crypto'
import { PulleystackError, Ran, convertToError } from '@pulleystack/core.errors'
import type { Clock } from '@pulleystack/core.clock'
import type { MembershipView } from '@pulleystack/membership.view'
import type { ClaimClient, ClaimRequest, StoredOutcome } from '@pulleystack/routing.claims'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'

const INITIAL_POLL_MS = 250
const MAX_POLL_MS = 2_000

export interface RunOnceOptions {
  clock: Clock
  claims: ClaimClient
  view: MembershipView
  ring: EventRing
}

export interface KeyedRequest {
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
 * Runs work at most once across all instances for an Idempotency-Key. The first request claims the key and stores its
 * outcome, which all later ones get. An error with `ran: no` releases the key; after any other error it stays claimed.
 */
export async function runOnce (opts: RunOnceOptions, keyed: KeyedRequest, run: () => Promise<StoredOutcome>): Promise<StoredOutcome> {
  const claim = buildClaim(opts, keyed)
  const storedOutcome = await acquireClaim(opts, keyed, claim)
  if (storedOutcome) return storedOutcome
  try {
    const outcome = await run()
    opts.claims.storeOutcome(claim, outcome)
    return outcome
  } catch (thrown) {
    const error = convertToError(thrown)
    if (error.ran === Ran.NO) {
      opts.claims.release(claim)
      opts.ring.record(EventKinds.CLAIM_RELEASED, { request: keyed.request, partner: keyed.partner })
    }
    throw error
  }
}

function buildClaim (opts: RunOnceOptions, keyed: KeyedRequest): ClaimRequest {
  const hash = createHash('sha256').update(`${keyed.method} ${keyed.path}\n`).update(keyed.body).digest('base64url')
  // Scoped to the caller, since different callers may choose the same key.
  const key = createHash('sha256').update(`${keyed.partner}/${keyed.caller}\n${keyed.key}`).digest('base64url')
  return { key, hash, request: keyed.request, instance: opts.view.self.instance }
}

/** Returns undefined once this request holds the claim, or the stored outcome of an earlier one. Throws if neither is possible in time. */
async function acquireClaim (opts: RunOnceOptions, keyed: KeyedRequest, claim: ClaimRequest): Promise<StoredOutcome | undefined> {
  for (let pollMs = INITIAL_POLL_MS; ; pollMs = Math.min(MAX_POLL_MS, pollMs * 2)) {
    const decision = await requestClaim(opts, keyed, claim)
    if (decision.kind === 'mismatch') {
      throw new PulleystackError('KEY_REUSED', 'This Idempotency-Key was used for a different request', { field: 'idempotency-key', hint: 'Use a new key for each request.' })
    }
    if (decision.kind === 'granted') {
      opts.ring.record(EventKinds.CLAIM_COMMITTED, { request: keyed.request, partner: keyed.partner })
      checkDeadline(opts, keyed, claim)
      return undefined
    }
    if (decision.outcome) {
      opts.ring.record(EventKinds.CLAIM_REPEATED, { request: keyed.request, partner: keyed.partner, note: `first was ${decision.request}` })
      return checkOutcomeBody(decision.outcome)
    }
    await waitForOutcome(opts, keyed, decision.instance, pollMs)
  }
}

async function requestClaim (opts: RunOnceOptions, keyed: KeyedRequest, claim: ClaimRequest) {
  try {
    return await opts.claims.claim(claim, keyed.deadline)
  } catch (thrown) {
    // The claim may have been written despite the error. Nothing was sent, so the key must not stay claimed.
    opts.claims.release(claim)
    throw thrown
  }
}

function checkDeadline (opts: RunOnceOptions, keyed: KeyedRequest, claim: ClaimRequest): void {
  if (opts.clock.readTime() < keyed.deadline && !keyed.signal.aborted) return
  opts.claims.release(claim)
  throw new PulleystackError('DEADLINE_NOT_RUN', 'The deadline passed or the caller disconnected while the claim was being written')
}

async function waitForOutcome (opts: RunOnceOptions, keyed: KeyedRequest, instance: string, pollMs: number): Promise<void> {
  const holder = opts.view.findMember(instance)
  if (!holder || holder.state === 'suspect') {
    throw new PulleystackError('CLAIM_OUTCOME_UNKNOWN', 'The instance that accepted this request is unavailable; it is unknown whether it ran', {
      hint: 'It will not be run again with this key.',
    })
  }
  if (opts.clock.readTime() + pollMs >= keyed.deadline) {
    throw new PulleystackError('CLAIM_IN_PROGRESS', 'The first request with this Idempotency-Key is still running', { retryAfterSeconds: 2 })
  }
  await opts.clock.wait(pollMs, keyed.signal)
  if (keyed.signal.aborted) throw new PulleystackError('CALLER_GONE', 'The caller disconnected')
}

function checkOutcomeBody (outcome: StoredOutcome): StoredOutcome {
  if (outcome.body !== undefined) return outcome
  throw new PulleystackError('CLAIM_OUTCOME_TOO_LARGE', `The first request was answered with status ${outcome.status}; its response was too large to store`)
}
