import { LRUCache } from 'lru-cache'
import { nameLife, type ServerLife } from './BackendEntry.js'
import { NamedLimit } from './NamedLimit.js'
import { PermitStock } from './PermitStock.js'
import { ServerBackoff } from './ServerBackoff.js'

/** Lives of servers of which it is remembered what they said; one takes about 200 bytes. */
const MAX_LIVES = 4_096

/** What a server said of itself in one of its lives. It stands above the server's entry, which lags while the store is away. */
export class StatedFacts {
  /** It said so to this instance, or to another one that told. Nothing takes it back: a server that leaves ends, and its next life is another one. */
  isLeaving = false
  /** Rest that it asked this instance for; others are asked for themselves. */
  readonly backoff = new ServerBackoff()
  /** Requests that it takes from all instances together. */
  readonly limit = new NamedLimit()
  /** Rights to send there while it names a limit. */
  readonly permits = new PermitStock()

  constructor (readonly life: ServerLife) {}
}

/** What servers said, by their lives, also while their entries are gone: an entry may run out and be written anew while the store is away. */
export class StatementMemory {
  private readonly byLife = new LRUCache<string, StatedFacts>({ max: MAX_LIVES })

  /** What is known of a life; new where nothing is. */
  find (life: ServerLife): StatedFacts {
    return this.byLife.get(nameLife(life)) ?? new StatedFacts({ id: life.id, startedAt: life.startedAt })
  }

  put (facts: StatedFacts): void {
    this.byLife.set(nameLife(facts.life), facts)
  }

  /** Lives that said that they leave, the newest first. */
  listLeaving (limit: number): ServerLife[] {
    return [...this.byLife.values()].filter(({ isLeaving }) => isLeaving).slice(0, limit).map(({ life }) => life)
  }
}
