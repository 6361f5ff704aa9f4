import { defineChannel } from '@pulleystack/membership.peers'
import { PathVerdicts, type PathVerdict } from '@pulleystack/routing.fleet'

/** Asks an instance whether it reaches a server, by the server's id. */
export const SIGHTING = defineChannel<{ server: string }, { sighting: Sighting }>('paths.sighting')

/** What an instance sees of a server at present. */
export const Sightings = {
  REACHED: 'reached',
  /** It reaches another server, but not this one. */
  UNREACHED: 'unreached',
  /** It reaches no server. */
  CUT_OFF: 'cut-off',
  /** It doesn't know the server. */
  UNKNOWN: 'unknown',
} as const
export type Sighting = typeof Sightings[keyof typeof Sightings]

/** Counts of the sightings of one server. */
export interface SightingCounts {
  asked: number
  reached: number
  unreached: number
}

/** Counts the sightings of one server, once all are there or one of them shows that it is reached; a peer that did not answer counts as asked only. */
export async function collectSightings (asked: readonly Promise<Sighting | undefined>[]): Promise<SightingCounts> {
  const isReached = asked.map(async (it) => await it === Sightings.REACHED ? true : Promise.reject(new Error('not reached')))
  if (await Promise.any(isReached).catch(() => false)) return { asked: asked.length, reached: 1, unreached: 0 }
  const sightings = await Promise.all(asked)
  return { asked: asked.length, reached: 0, unreached: sightings.filter((it) => it === Sightings.UNREACHED).length }
}

/** The verdict on a server that this instance does not reach. `hasOwnSight` tells whether it reaches another one. */
export function judgeSightings ({ reached, unreached }: SightingCounts, hasOwnSight: boolean): PathVerdict {
  if (reached > 0) return PathVerdicts.PATH_LOST
  return unreached > 0 || hasOwnSight ? PathVerdicts.SERVER_DOWN : PathVerdicts.UNKNOWN
}
