import * as z from 'zod'

/**
 * Mechanisms that decide where requests run and which models sit where. Each can be switched off, to its plain alternative, so that what it is worth
 * can be measured and a suspicion during an incident can be tried out. One that gains at some deployments and loses at others is off unless chosen.
 */
export const policySchema = z.strictObject({
  waitEstimate: z.boolean().default(true)
    .describe('Refuse a request as soon as no place or weights can be expected before its client leaves. Off: it waits until then.'),
  timelyFirst: z.boolean().default(true)
    .describe('Give the next place to those who can still be in time, the earliest due first, before those who are late. Off: to the first that came.'),
  patienceBound: z.boolean().default(true)
    .describe('No wait outlasts the time after which clients give a silent stream up. Off: only the deadline bounds it.'),
  pacedReading: z.boolean().default(true)
    .describe('Hold prompts back for moments while a server reads so many that its streams would pause. Off: send them as they come.'),
  learnedReading: z.boolean().default(false)
    .describe('Let a server whose streams paused for too long read fewer prompts at a time; off unless chosen. Off: all servers read as much.'),
  prefixAffinity: z.boolean().default(true)
    .describe('Prefer servers that have read the beginning of the prompt. Off: every prompt counts as unread.'),
  failureAvoidance: z.boolean().default(true)
    .describe('Leave out servers that fail clearly more often than their like. Off: only consecutive failures take a server out.'),
  demandTrend: z.boolean().default(true)
    .describe('Plan loads for a rise or fall of demand to go on. Off: for the mean of the last seconds.'),
  waitForDisk: z.boolean().default(true)
    .describe('Wait for a busy server that has the model in memory or on disk. Off: load from the weight store at a free server.'),
  pooledQuotas: z.boolean().default(true)
    .describe('Each request asks the one instance that keeps the quota of its team. Off: every instance counts what the others tell of a moment ago.'),
  ordersInOutage: z.boolean().default(true)
    .describe('The holder of the lease orders on while all instances have lost the store. Off: it stops when the lease runs out.'),
})

export type Policy = z.infer<typeof policySchema>

/** What is in force when nothing is chosen. */
export const DEFAULT_POLICY: Policy = Object.freeze(policySchema.parse({}))
