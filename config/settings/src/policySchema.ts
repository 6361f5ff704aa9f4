import * as z from 'zod'

/**
 * Features that decide where requests run and where models are loaded. Each can be switched off in favour of a simpler alternative; one that does
 * not help every deployment is off by default.
 */
export const policySchema = z.strictObject({
  waitEstimate: z.boolean().default(true)
    .describe('Reject a request as soon as no slot or weights are expected to be available before its client times out. Off: it waits until then.'),
  timelyFirst: z.boolean().default(true)
    .describe('Give the next slot to requests within their latency target, earliest due first, before overdue ones. Off: first come, first served.'),
  patienceBound: z.boolean().default(true)
    .describe('Limit waits to the time after which clients abort a stream without events. Off: only the deadline limits them.'),
  pacedReading: z.boolean().default(true)
    .describe('Delay prompts briefly while a server processes so many that its streams would pause. Off: send them immediately.'),
  learnedReading: z.boolean().default(false)
    .describe('Send fewer prompts at a time to a server whose streams paused for too long; off by default. Off: the same limit for all servers.'),
  prefixAffinity: z.boolean().default(true)
    .describe('Prefer servers that have processed the beginning of the prompt. Off: every prompt counts as new.'),
  failureAvoidance: z.boolean().default(true)
    .describe('Avoid servers that fail clearly more often than similar ones. Off: only consecutive failures exclude a server.'),
  demandTrend: z.boolean().default(true)
    .describe('Plan loads for the continued trend of demand. Off: for the mean of the last seconds.'),
  waitForDisk: z.boolean().default(true)
    .describe('Wait for a busy server that has the model in memory or on disk. Off: load from the weight store on an idle server.'),
  pooledQuotas: z.boolean().default(true)
    .describe('Each request checks its team\'s quota at the one instance that owns it. Off: every instance uses slightly delayed counts from the others.'),
  paceEstimates: z.boolean().default(true)
    .describe('Estimate the pace of each server of a heterogeneous service. Off: the same constants for all servers.'),
  reservations: z.boolean().default(true)
    .describe('Reserve room at a server of a heterogeneous service at the one instance that keeps its ledger. Off: every instance uses slightly delayed loads.'),
  teamShares: z.boolean().default(true)
    .describe('Give way to teams that use less when a server of a heterogeneous service is nearly full. Off: first come, first served.'),
  brittleCare: z.boolean().default(true)
    .describe('Send servers that report to be brittle no more than they have slots for, decided by the owner of their ledger. Off: as any other server.'),
  capacityPlanning: z.boolean().default(false)
    .describe('Plan loads of a heterogeneous service by the requests that a copy serves in time and by those that wait; off by default. Off: by slots.'),
  weightsBound: z.boolean().default(false)
    .describe('Reject requests for weights of a heterogeneous service as soon as no load is planned; off by default. Off: they wait while a load is possible.'),
  ordersInOutage: z.boolean().default(true)
    .describe('The holder of the lease continues to issue orders while no instance can reach the store. Off: it stops when the lease expires.'),
})

export type Policy = z.infer<typeof policySchema>

export const DEFAULT_POLICY: Policy = Object.freeze(policySchema.parse({}))
