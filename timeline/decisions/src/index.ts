export { DecisionKinds, DecisionLog, SilentDecisionLog } from './DecisionLog.js'
export type { DecisionFields, DecisionKind } from './DecisionLog.js'
export { JsonDecisionLog } from './JsonDecisionLog.js'
export type { JsonDecisionLogOptions } from './JsonDecisionLog.js'
