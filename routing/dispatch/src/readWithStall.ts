import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'

export interface StallOptions {
  clock: Clock
  /** Silence after which the server may be frozen with its connection open. */
  stallMs: number
  /** Asked then; true when silence is to be expected, as while the request waits in the server's own queue. */
  mayWait: () => boolean
}

/** Reads a stream, and fails when nothing comes for too long. */
export async function* readWithStall<T> (stream: AsyncIterable<T>, opts: StallOptions): AsyncGenerator<T, void> {
  const iterator = stream[Symbol.asyncIterator]()
  let finished = false
  try {
    for (;;) {
      const next = await readNext(iterator, opts)
      if (next.done) {
        finished = true
        return
      }
      yield next.value
    }
  } finally {
    // Not awaited: a frozen stream would hold the request as well.
    if (!finished) void iterator.return?.().catch(() => undefined)
  }
}

function readNext<T> (iterator: AsyncIterator<T>, opts: StallOptions): Promise<IteratorResult<T>> {
  return new Promise((resolve, reject) => {
    let cancel = (): void => undefined
    const watch = (): void => {
      cancel = opts.clock.setTimer(opts.stallMs, () => {
        if (opts.mayWait()) watch()
        else reject(new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Nothing came for ${opts.stallMs} ms`))
      })
    }
    watch()
    iterator.next().then(resolve, reject).finally(() => cancel())
  })
}
