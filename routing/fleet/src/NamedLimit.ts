/** What a server said of its limit, and between which moments it said so: monotone times of the own clock. */
export interface LimitStatement {
  /** Requests a second that it takes from all instances together; undefined when it names no limit. */
  perSecond: number | undefined
  saidAfter: number
  saidBefore: number
  /** The peer that heard it and told; undefined when this instance did. */
  heardBy?: string | undefined
}

/**
 * The limit that a server names for as long as its answers bear it. Answers of one server overtake each other, and so do the messages by which instances
 * tell of them. What was surely said later replaces what was said before; where that can't be told, the stricter one stands.
 */
export class NamedLimit {
  private said: LimitStatement = { perSecond: undefined, saidAfter: -Infinity, saidBefore: -Infinity }

  /** Requests a second from all instances together; undefined while it names none. */
  get perSecond (): number | undefined {
    return this.said.perSecond
  }

  /** When it said so. */
  get statement (): Readonly<LimitStatement> {
    return this.said
  }

  /** Gives whether another limit is in force by that. */
  take (statement: LimitStatement): boolean {
    const { said } = this
    if (statement.saidBefore < said.saidAfter) return false
    const before = said.perSecond
    if (statement.perSecond === before) this.said = mergeTimes(said, statement)
    else if (statement.saidAfter >= said.saidBefore || isStricter(statement.perSecond, before)) this.said = statement
    return this.perSecond !== before
  }
}

/** The same, said twice: when it was said last. */
function mergeTimes (one: LimitStatement, other: LimitStatement): LimitStatement {
  return { ...one, saidAfter: Math.max(one.saidAfter, other.saidAfter), saidBefore: Math.max(one.saidBefore, other.saidBefore) }
}

function isStricter (one: number | undefined, other: number | undefined): boolean {
  return (one ?? Infinity) < (other ?? Infinity)
}
