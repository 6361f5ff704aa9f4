import { readSoftwareVersion } from '@pulleystack/routing.fleet'
import { DecisionKinds, type DecisionLog } from '@pulleystack/timeline.decisions'
import type { BackendSlot } from './BackendSlot.js'
import type { RoutedWork } from './RoutedWork.js'

interface SentAttempt {
  slot: BackendSlot
  facts: { request: string, backend: string, send: number }
  /** Monotonic time in milliseconds. */
  sentAt: number
}

/** Logs that an attempt is sent, with the load of its server. */
export function recordSend (log: DecisionLog, work: RoutedWork, { slot, facts, sentAt }: SentAttempt): void {
  const load = slot.backend.readLoad()
  log.record(DecisionKinds.ATTEMPT_SENT, {
    ...facts,
    model: work.generation?.model,
    running: load.running,
    prefillTokens: load.prefillTokens,
    keptTokens: slot.choice.cachedTokens,
    leftMs: Math.round(work.deadline - sentAt),
    limitPerSecond: slot.backend.reported.limit.perSecond,
    version: readSoftwareVersion(slot.backend.entry),
    after: work.stream.lastEventId,
    resumes: work.facts.resumedRequestId,
  })
}
