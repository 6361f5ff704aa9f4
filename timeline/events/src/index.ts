export { EventKinds } from './TimelineEvent.js'
export type { EventKind, TimelineEvent, EventFields } from './TimelineEvent.js'
export { EventRing } from './EventRing.js'
