import type { Clock } from '@pulleystack/core.clock'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import type { InvalidMessages } from './InvalidMessages.js'
import { LOOKUP, parseAnswer, type LookupRequest, type ParsedAnswer } from './messages.js'
import { CANDIDATES, FURTHER_ASKED } from './RecordKeepers.js'

/** What a lookup found, and how many of the instances that were asked did not answer. */
export interface LookupOutcome {
  origin: StreamOrigin | undefined
  /** The version of streams without a record, as an instance told; undefined if none knows. */
  base: string | undefined
  /** The same as all of those told that have answered; empty if none has, and with undefined if one can't tell. */
  precededBases: ReadonlySet<string | undefined>
  /** Whether any of those asked told that it may lack records. */
  mayLackRecords: boolean
  asked: number
  silent: number
}

export interface OriginLookupOptions {
  clock: Clock
  network: PeerNetwork
  invalid: InvalidMessages
  /** Other serving instances, those that most likely have the record first. */
  rankPeers: (requestId: string) => readonly string[]
}

/** Asks other instances for the origin of a stream. Concurrent lookups of a stream share one. */
export class OriginLookup {
  private readonly pending = new Map<string, Promise<LookupOutcome>>()

  constructor (private readonly opts: OriginLookupOptions) {}

  /** Resolves within `maxMs`; never rejects. */
  find (requestId: string, services: readonly string[], maxMs: number): Promise<LookupOutcome> {
    const pending = this.pending.get(requestId)
    if (pending) return pending
    const lookup = this.askAll(requestId, services, maxMs).finally(() => this.pending.delete(requestId))
    this.pending.set(requestId, lookup)
    return lookup
  }

  /** The first instance that knows settles it. */
  private async askAll (requestId: string, services: readonly string[], maxMs: number): Promise<LookupOutcome> {
    const peers = this.opts.rankPeers(requestId).slice(0, CANDIDATES + FURTHER_ASKED)
    const settled = new AbortController()
    const received: ParsedAnswer[] = []
    const answers = peers.map(async (peer) => {
      const answer = await this.ask(peer, { requestId, services }, maxMs)
      if (answer) received.push(answer)
      return answer?.origin ?? Promise.reject(new Error('unknown'))
    })
    // A call that has to open a link first may take longer than its timeout.
    const timeout = this.opts.clock.wait(maxMs, settled.signal).then(() => undefined)
    const origin = await Promise.race([Promise.any(answers).catch(() => undefined), timeout])
    settled.abort()
    const base = received.find((answer) => answer.base !== undefined)?.base
    const mayLackRecords = received.some((answer) => answer.mayLackRecords)
    const precededBases = new Set(received.map((answer) => answer.precededBase))
    return { origin, base, precededBases, mayLackRecords, asked: peers.length, silent: peers.length - received.length }
  }

  /** Undefined without an answer. */
  private async ask (peer: string, request: LookupRequest, maxMs: number): Promise<ParsedAnswer | undefined> {
    const answer = await this.opts.network.call(peer, LOOKUP, request, maxMs)
    if (answer.isErr()) return undefined
    const parsed = parseAnswer(answer.value)
    if (!parsed.isValid) this.opts.invalid.record(peer, LOOKUP.name)
    return parsed
  }
}
