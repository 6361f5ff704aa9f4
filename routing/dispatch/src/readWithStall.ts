import type { Clock } from '@pulleystack/core.clock'
import { PulleystackError } from '@pulleystack/core.errors'

/** Reads a stream, and fails when nothing comes for so long: the server may be frozen with its connection open. */
export async function* readWithStall<T> (stream: AsyncIterable<T>, clock: Clock, stallMs: number): AsyncGenerator<T, void> {
  const iterator = stream[Symbol.asyncIterator]()
  let finished = false
  try {
    for (;;) {
      const next = await readNext(iterator, clock, stallMs)
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

function readNext<T> (iterator: AsyncIterator<T>, clock: Clock, stallMs: number): Promise<IteratorResult<T>> {
  return new Promise((resolve, reject) => {
    const stalled = new PulleystackError('ATTEMPT_FAILED_UNKNOWN', `Nothing came for ${stallMs} ms`)
    const cancel = clock.setTimer(stallMs, () => reject(stalled))
    iterator.next().then(resolve, reject).finally(cancel)
  })
}
