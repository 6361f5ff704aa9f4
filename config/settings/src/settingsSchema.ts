import * as z from 'zod'

const ADDRESS = /^[0-9a-fA-F.:[\]]+:\d{1,5}$/
const addressSchema = z.string().regex(ADDRESS, 'must be an IP address and a port, such as 127.0.0.1:8080')
const hashSchema = z.string().regex(/^[0-9a-f]{64}$/, 'must be the SHA-256 of the key in hexadecimal')

const operatorSchema = z.strictObject({
  name: z.string().min(1).max(63),
  partner: z.string().min(1).max(63),
  keyHashes: z.array(hashSchema).min(1).max(2),
})

/** Settings of `pulleystack serve`. */
export const settingsSchema = z.strictObject({
  instance: z.string().min(1).max(63).describe('Name of this instance, unique in the system.'),
  region: z.string().min(1).max(63).default('default'),
  dataHall: z.string().min(1).max(63),
  listen: z.strictObject({
    callers: addressSchema.describe('Address for callers and operators.'),
    peers: addressSchema.describe('Address for other entry instances.'),
  }),
  platform: z.strictObject({
    objectApi: addressSchema,
    instanceList: addressSchema,
    weightStore: addressSchema,
  }),
  tls: z.strictObject({
    authority: z.string(),
    certificate: z.string(),
    key: z.string(),
  }).optional().describe('Certificate files for connections between peers; absent: plain connections, on loopback only.'),
  peerKeyFile: z.string().optional().describe('File with the secret that peers share; absent: peers on loopback only.'),
  callerTls: z.strictObject({ certificate: z.string(), key: z.string() }).optional().describe('Serve callers over TLS.'),
  operators: z.array(operatorSchema).max(200).default([]),
  limits: z.strictObject({
    bodyBytes: z.number().int().min(1024).max(1 << 30).default(8 << 20),
    heldBytes: z.number().int().min(1 << 20).max(1 << 40).default(256 << 20).describe('Limit of the bytes of request bodies, and of responses that callers do not read, over all connections.'),
    connections: z.number().int().min(1).max(200_000).default(20_000),
    queued: z.number().int().min(0).max(1_000_000).default(2_000),
    headersTimeoutMs: z.number().int().min(100).max(120_000).default(10_000),
    requestTimeoutMs: z.number().int().min(100).max(3_600_000).default(60_000),
  }).prefault({}),
  directory: z.strictObject({
    lifetimeSeconds: z.number().min(0.1).max(3600).default(10),
    leastInstances: z.number().int().min(1).max(100).default(3),
  }).prefault({}),
  claims: z.strictObject({
    shards: z.number().int().min(1).max(1024).default(4),
    keepSeconds: z.number().int().min(10).max(604_800).default(3_600),
    writesPerSecond: z.number().min(1).max(1000).default(40).describe('Limit of writes to the object API for claims, over all instances.'),
  }).prefault({}),
  placement: z.strictObject({
    leaseMs: z.number().int().min(500).max(120_000).default(9_000),
    orderDelayMs: z.number().int().min(10).max(60_000).default(2_000),
    intervalMs: z.number().int().min(50).max(60_000).default(1_000),
  }).prefault({}),
  timings: z.strictObject({
    heartbeatMs: z.number().int().min(50).max(10_000).default(500),
    suspectAfterMs: z.number().int().min(100).max(30_000).default(1_500),
    listPollMs: z.number().int().min(50).max(60_000).default(1_000),
    reportWaitMs: z.number().int().min(20).max(10_000).default(250),
    digestMs: z.number().int().min(50).max(60_000).default(2_000),
  }).prefault({}),
  log: z.enum(['trace', 'debug', 'info', 'warn', 'error', 'silent']).default('info'),
})

export type Settings = z.infer<typeof settingsSchema>
export type OperatorSetting = z.infer<typeof operatorSchema>
