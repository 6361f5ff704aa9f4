/** A longer rest counts as one of an hour: a server that means to be away for longer leaves. HTTP sets no bound; a first choice. */
const MAX_MS = 3_600_000
/** Requests that a server gets after a rest before it has answered one. */
const FIRST_CREDITS = 1
/** Each answer lets so many more follow, so that what it gets doubles with each round. */
const CREDITS_PER_ANSWER = 2
/** After so many answers in a row it gets requests as ever: four doublings. */
const ANSWERS_UNTIL_WHOLE = 15

/** One request that was sent on a credit. */
export interface CreditUse {
  /** The server took it and answers it; gives whether more may follow by that. */
  noteAnswered: () => boolean
  /** It has ended; without an answer another one may be sent in its place. */
  end: () => void
}

/**
 * The rest that a server asked this instance for, and how it is taken up again: with one request, then with twice as many for each round that it answers.
 * All those that waited for it would else reach it at once. Times are monotone, in milliseconds.
 */
export class ServerBackoff {
  private until = -Infinity
  private credits = Infinity
  private answers = 0
  /** Rests that were asked for. */
  private rests = 0

  /** The server wants nothing for so long from now on; a rest that ends earlier than the one that runs changes nothing. Gives whether it was news. */
  extend (ms: number, now: number): boolean {
    const until = now + Math.min(MAX_MS, ms)
    if (ms <= 0 || until <= this.until) return false
    this.until = until
    this.credits = FIRST_CREDITS
    this.answers = 0
    this.rests++
    return true
  }

  isActive (now: number): boolean {
    return now < this.until
  }

  /** 0 when it is over. */
  readLeftMs (now: number): number {
    return Math.max(0, this.until - now)
  }

  /** Whether one more request may be sent, after the rest. */
  hasCredit (): boolean {
    return this.credits >= 1
  }

  /** Uses up a credit for one request. */
  take (): CreditUse {
    const { rests } = this
    let isSettled = false
    this.credits--
    const settle = (credits: number): boolean => {
      // What was sent before the rest says nothing of the time after it.
      if (isSettled || rests !== this.rests || this.credits === Infinity) return false
      isSettled = true
      this.credits += credits
      return true
    }
    return {
      noteAnswered: () => {
        if (!settle(CREDITS_PER_ANSWER)) return false
        this.answers++
        if (this.answers >= ANSWERS_UNTIL_WHOLE) this.credits = Infinity
        return true
      },
      end: () => void settle(1),
    }
  }
}
