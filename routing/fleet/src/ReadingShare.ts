/** Longest pauses of streams that ran at one server, as told to other instances. */
export interface PauseSample {
  /** The longest pause of any, as a share of the longest that its route allows. */
  worst: number
  streams: number
}

/** From this share of the longest allowed pause on, a server reads too much beside its streams; the rest is for what no instance knows yet. */
const TOO_LONG = 0.9
/** Factor by which a pause that was too long lowers the share. */
const LOWERED_BY = 0.85
/** What each stream without one raises it by again, so that it settles where about one stream in fifteen comes near the bound. */
const RAISED_BY = 0.01
/** A server that reads nothing still takes any prompt, so that less than this would only keep it idle. */
const LEAST = 0.3
/** Streams that were hit by one pause end within moments of each other and count once. */
const SAME_PAUSE_MS = 500

/**
 * How much of the usual reading a server bears beside its streams. Servers of one service differ in pace, and so do models; a server whose streams
 * paused for too long gets fewer prompts at a time, until its streams flow again.
 */
export class ReadingShare {
  private share = 1
  private loweredAt = -Infinity

  get value (): number {
    return this.share
  }

  /** Takes what streams that ended lately showed. */
  learn ({ worst, streams }: PauseSample, now: number): void {
    if (worst < TOO_LONG) {
      this.share = Math.min(1, this.share + RAISED_BY * streams)
      return
    }
    if (now - this.loweredAt < SAME_PAUSE_MS) return
    this.loweredAt = now
    this.share = Math.max(LEAST, this.share * LOWERED_BY)
  }
}
