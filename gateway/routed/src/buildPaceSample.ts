import type { PaceSample } from '@pulleystack/routing.pace'
import type { BackendSlot } from './BackendSlot.js'
import type { RoutedWork } from './RoutedWork.js'

/** What the first event of a stream shows: how fast its server processed the prompt. Reported at once, since a slow spell lasts less than a stream. */
export function buildPrefillSample (slot: BackendSlot, work: RoutedWork): PaceSample | undefined {
  const sample = buildSample(slot, work)
  return sample && { ...sample, events: 0, eventMs: 0 }
}

/** What a complete stream shows: how fast its server generated events. */
export function buildEventSample (slot: BackendSlot, work: RoutedWork): PaceSample | undefined {
  const sample = buildSample(slot, work)
  return sample && { ...sample, readTokens: 0, events: work.stream.events - 1, eventMs: work.stream.gaps.computeMedian() }
}

/** Undefined for streams that say nothing about their server: those of several attempts, those that a client resumed, and those whose client read slowly. */
function buildSample (slot: BackendSlot, { generation, stream, excluded, facts }: RoutedWork): Omit<PaceSample, 'events' | 'eventMs'> | undefined {
  const { reservation, firstEventMs } = slot
  if (!generation || !reservation?.load || firstEventMs === undefined) return undefined
  if (stream.hadBackpressure || excluded.size > 0 || facts.lastEventId !== undefined) return undefined
  return {
    readTokens: Math.max(0, generation.promptTokens - slot.choice.cachedTokens),
    aheadTokens: reservation.load.prefillTokens,
    firstEventMs,
    running: reservation.load.running,
    model: generation.model,
  }
}
