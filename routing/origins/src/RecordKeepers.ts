import type { Clock } from '@pulleystack/core.clock'
import { rankMembers } from '@pulleystack/core.hashing'
import type { PeerNetwork } from '@pulleystack/membership.peers'
import type { StreamOrigin } from '@pulleystack/routing.fleet'
import { MAX_ITEMS, RECORDS, type RecordItem } from './messages.js'

/** Instances that are told of a record. */
const KEEPERS = 3
/** First instances of the ranking; a lookup asks them all at once. */
export const CANDIDATES = 5
/** Instances asked beside the candidates of the ranking, which may have changed since the stream began. */
export const FURTHER_ASKED = 16
/** Records ranked in one turn of the event loop. */
const RANKED_AT_ONCE = 100

export interface RecordKeepersOptions {
  clock: Clock
  network: PeerNetwork
  instance: string
  listServing: () => readonly string[]
}

/** The instances that keep the records of other instances' streams, by rendezvous hash of the request id. */
export class RecordKeepers {
  constructor (private readonly opts: RecordKeepersOptions) {}

  /** Other serving instances by their rank for the id. */
  rankPeers (requestId: string): string[] {
    const { instance, listServing } = this.opts
    return rankMembers(requestId, listServing().filter((other) => other !== instance), (other) => other)
  }

  /** Tells the keepers of a record. */
  tell (requestId: string, { service, version }: StreamOrigin): void {
    for (const keeper of this.listKeepers(requestId)) this.opts.network.send(keeper, RECORDS, [[requestId, service, version]])
  }

  /** Tells the keepers of many records, grouped into few messages, with pauses in which other work is done. */
  async tellAll (records: readonly [requestId: string, origin: StreamOrigin][], signal: AbortSignal): Promise<void> {
    const groups = new Map<string, RecordItem[]>()
    for (let at = 0; at < records.length && !signal.aborted; at += RANKED_AT_ONCE) {
      for (const [requestId, { service, version }] of records.slice(at, at + RANKED_AT_ONCE)) {
        for (const keeper of this.listKeepers(requestId)) this.push(groups, keeper, [requestId, service, version])
      }
      if (at + RANKED_AT_ONCE < records.length) await this.opts.clock.wait(0, signal)
    }
    for (const [keeper, items] of groups) this.opts.network.send(keeper, RECORDS, items)
  }

  /** Without an open link a message is lost, so candidates with one come first. */
  private listKeepers (requestId: string): string[] {
    const candidates = this.rankPeers(requestId).slice(0, CANDIDATES)
    const linked = this.opts.network.listLinked()
    return [...candidates.filter((it) => linked.includes(it)), ...candidates.filter((it) => !linked.includes(it))].slice(0, KEEPERS)
  }

  /** Adds a record to the message to a keeper, and sends the message once it is full. */
  private push (groups: Map<string, RecordItem[]>, keeper: string, item: RecordItem): void {
    const items = groups.get(keeper) ?? []
    items.push(item)
    groups.set(keeper, items)
    if (items.length < MAX_ITEMS) return
    groups.delete(keeper)
    this.opts.network.send(keeper, RECORDS, items)
  }
}
