import * as z from 'zod'
import { Kinds, ServiceClasses, type Kind } from './kinds.js'

const NAME = /^[a-z0-9](?:[a-z0-9.-]{0,61}[a-z0-9])?$/
const MAX_BYTES = 2 ** 50
const nameSchema = z.string().regex(NAME, 'must be 1 to 63 lower-case letters, digits, dots or dashes')
const labelsSchema = z.record(z.string().min(1).max(63), z.string().max(63)).describe('Labels: name to value.')
const selectorSchema = z.record(z.string().min(1).max(63), z.union([z.string(), z.array(z.string()).max(64)]))
  .describe('Each label named must have one of the values; an empty list asks that the label is absent.')
const bytesSchema = z.number().int().min(0).max(MAX_BYTES)
const hashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the key in hexadecimal')

const repeatRuleSchema = z.strictObject({
  method: z.string().regex(/^[A-Z]+$/).optional().describe('HTTP method; absent: any.'),
  path: z.string().max(200).optional().describe('Start of the path below the service; absent: any.'),
  repeatable: z.boolean(),
})

const serviceSchema = z.strictObject({
  type: z.enum(['model', 'plain']),
  class: z.enum([ServiceClasses.LOOKUP, ServiceClasses.WORK]),
  callers: selectorSchema.optional().describe('Which of the partner\'s callers may use the service.'),
  dataHalls: z.array(z.string()).max(64).optional().describe('Data halls whose backend servers may be used; absent: all.'),
  backendServers: selectorSchema.optional().describe('Labels of the backend servers that may be used.'),
  repeatRules: z.array(repeatRuleSchema).max(100).optional().describe('First match says whether a call may be repeated.'),
  requireKey: z.boolean().optional().describe('Ask for an Idempotency-Key on calls that may not be repeated.'),
  deadlineMs: z.number().int().min(50).max(3_600_000).optional().describe('Deadline when the caller names none.'),
  promise: z.strictObject({
    firstByteMs: z.number().int().min(1),
    completion: z.number().min(0).max(1),
  }).optional().describe('Promised time to the first byte, and share of requests completed.'),
  requestsPerSecond: z.number().min(0).optional().describe('Limit over all entry instances.'),
  movePenalty: z.number().min(0).max(100).optional().describe('Weight of a move of the service\'s models against attainment; 1 is neutral.'),
})

const modelSchema = z.strictObject({
  service: nameSchema,
  bytes: bytesSchema.describe('Bytes of the weights on an accelerator.'),
  kvFloorBytes: bytesSchema.describe('Least memory for the KV cache beside the weights.'),
  weights: z.string().min(1).max(300).describe('Name in the weight store.'),
  minCopies: z.number().int().min(1).max(1000).optional(),
  maxCopies: z.number().int().min(1).max(12_000).optional(),
  tokensPerSecond: z.number().min(1).optional().describe('Tokens that one copy generates a second; a first estimate.'),
})

const modelVersionSchema = z.strictObject({
  model: nameSchema,
  weights: z.string().min(1).max(300),
  bytes: bytesSchema,
  active: z.boolean().describe('The version that requests without a version use.'),
})

const adapterSchema = z.strictObject({ model: nameSchema, weights: z.string().min(1).max(300), bytes: bytesSchema })

const callerSchema = z.strictObject({
  keyHashes: z.array(hashSchema).min(1).max(2).describe('SHA-256 of the access keys; two while a key is replaced.'),
  requestsPerSecond: z.number().min(0).optional(),
})

const backendServerLabelsSchema = z.strictObject({
  server: z.string().min(1).max(100),
  serverLabels: labelsSchema.describe('Seen by this partner\'s selectors only.'),
})

const quotaSchema = z.strictObject({
  guaranteedShare: z.number().min(0).max(1).describe('Share of the pool\'s memory and concurrency kept for the partner.'),
  mayBorrow: z.boolean().describe('Whether the partner may use what others leave idle.'),
})

const routeSchema = z.strictObject({
  host: z.string().regex(/^[a-z0-9](?:[a-z0-9.-]{0,251}[a-z0-9])?$/, 'must be a host name in lower case')
    .describe('Host without port; all routes of a host belong to one partner.'),
  pathPrefix: z.string().regex(/^\/(?:.*\/)?$/, 'must begin and end with a slash').max(500)
    .describe('Of the routes of a host the one with the longest prefix takes a request.'),
  targets: z.array(z.strictObject({ service: nameSchema, weight: z.number().min(0).max(1000) })).min(1).max(16)
    .describe('Plain services, with their shares of the requests.'),
  repeat: z.enum(['repeatable', 'once']).describe('Whether one request may run more than once.'),
  streams: z.boolean().optional().describe('Answers are streams of server-sent events.'),
  resumable: z.boolean().optional().describe('A broken stream may go on at another backend server, by Last-Event-Id.'),
  timeoutMs: z.number().int().min(10).max(3_600_000).describe('Longest time that a request may be held.'),
  targetLatencyMs: z.number().int().min(1).max(3_600_000).optional().describe('Time to a whole answer, or to the first event, that is of full use.'),
  longestPauseMs: z.number().int().min(1).max(600_000).optional().describe('Longest pause between events that is of full use.'),
  priority: z.number().int().min(0).max(9).optional().describe('0 is the most urgent; absent: 5.'),
  maxAttempts: z.number().int().min(1).max(10).optional().describe('Backend servers on which one request may run; absent: 2, or 1 when it may run once only.'),
})

/** The schema of each kind's spec. */
export const specSchemas = {
  [Kinds.SERVICE]: serviceSchema,
  [Kinds.MODEL]: modelSchema,
  [Kinds.MODEL_VERSION]: modelVersionSchema,
  [Kinds.ADAPTER]: adapterSchema,
  [Kinds.CALLER]: callerSchema,
  [Kinds.BACKEND_SERVER_LABELS]: backendServerLabelsSchema,
  [Kinds.QUOTA]: quotaSchema,
  [Kinds.ROUTE]: routeSchema,
} as const

/** Fields common to objects of all kinds. */
export const objectSchema = z.strictObject({
  kind: z.enum(Object.values(Kinds) as [Kind, ...Kind[]]),
  partner: nameSchema,
  name: nameSchema,
  labels: labelsSchema.optional(),
  spec: z.unknown(),
  generation: z.number().int().min(1).optional().describe('Counts accepted changes; set by the system.'),
  operation: z.string().max(64).optional().describe('Id of the write, by which a lost answer is recognised; set by the system.'),
  lastApplied: z.unknown().optional().describe('What `apply` was last given, for the three-way merge; set by the system.'),
})

export type ServiceSpec = z.infer<typeof serviceSchema>
export type ModelSpec = z.infer<typeof modelSchema>
export type ModelVersionSpec = z.infer<typeof modelVersionSchema>
export type AdapterSpec = z.infer<typeof adapterSchema>
export type CallerSpec = z.infer<typeof callerSchema>
export type BackendServerLabelsSpec = z.infer<typeof backendServerLabelsSchema>
export type QuotaSpec = z.infer<typeof quotaSchema>
export type RouteSpec = z.infer<typeof routeSchema>
export type RepeatRule = z.infer<typeof repeatRuleSchema>

export interface SpecOf {
  Service: ServiceSpec
  Model: ModelSpec
  ModelVersion: ModelVersionSpec
  Adapter: AdapterSpec
  Caller: CallerSpec
  BackendServerLabels: BackendServerLabelsSpec
  Quota: QuotaSpec
  Route: RouteSpec
}

/** A configuration object that matches its schema. */
export interface ConfigObject<K extends Kind = Kind> {
  kind: K
  partner: string
  name: string
  labels?: Record<string, string>
  spec: SpecOf[K]
  generation?: number
  operation?: string
  lastApplied?: unknown
}

/** Creates the JSON Schema of an object of the given kind. */
export function createObjectJsonSchema (kind: Kind): unknown {
  return z.toJSONSchema(objectSchema.extend({ kind: z.literal(kind), spec: specSchemas[kind] }))
}
