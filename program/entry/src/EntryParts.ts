import type { Clock } from '@pulleystack/core.clock'
import type { DecisionLog } from '@pulleystack/timeline.decisions'
import type { EntrySettings } from './EntrySettings.js'
import type { EntryDependencies } from './EntrySources.js'

/** Dependencies shared by all parts of an entry instance. */
export interface EntryParts {
  settings: EntrySettings
  deps: EntryDependencies
  clock: Clock
  log: DecisionLog
}
