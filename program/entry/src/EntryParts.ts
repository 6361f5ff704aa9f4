import type { Clock } from '@pulleystack/core.clock'
import type { DecisionLog } from '@pulleystack/timeline.decisions'
import type { EntrySettings } from './EntrySettings.js'
import type { EntryDependencies } from './EntrySources.js'

/** What every part of an entry instance is built from. */
export interface EntryParts {
  settings: EntrySettings
  deps: EntryDependencies
  clock: Clock
  log: DecisionLog
}
