import type { MeasuredSlope } from './runCapacity.js'

export interface Measurements {
  at: string
  slopes: MeasuredSlope[]
}

/** Size of the system that the budget is computed for; requests and tokens are per second. */
const SYSTEM_SIZE = {
  nodes: 350,
  runners: 12_000,
  requests: 33_000,
  tokens: 6_900_000,
  models: 810,
  regions: 4,
  changesPerDay: 17_000,
  stopsPerDay: 2_270,
} as const

/** Configuration and traffic parameters of the budget, listed in docs/CAPACITY.md. */
const PARAMETERS = {
  services: 81,
  subsetSize: 4,
  itemsPerRunner: 2,
  objects: 6_000,
  cacheBlocksPerReport: 10,
  keyedRequestsPerSecond: 300,
  claimRetentionSeconds: 3_600,
  shardAccelerators: 100,
  leaseRenewalSeconds: 3,
  httpBytesPerReport: 450,
  reportIntervalMsPerEngine: 150,
  enginesAtFullReportRate: 8,
  listReaders: 2,
  listPollSeconds: 4.94,
  listRepairSeconds: 3_500,
  listBytesPerEntry: 230,
} as const

const BUDGET = { cpuPercent: 3.9, megabytes: 256, kilobytesPerSecond: 14, storeWrites: 100, storeReads: 2_000 } as const
const SECONDS_PER_DAY = 86_400

/** Cost of one role on one instance. */
export interface RoleCost {
  role: string
  state: string
  messages: string
  cpuPercent: number
  megabytes: number
  kilobytesPerSecond: number
  mechanism: string
  slopes: string
}

type GetFit = (name: string) => { slope: number, intercept: number }

export function renderSlopeTable (measurements: Measurements): string {
  const rows = measurements.slopes.map(({ name, per, unit, points, fit }) => {
    const sizes = points.map((point) => `${point.size}: ${point.value}`).join(', ')
    return `| ${name} | ${unit} by ${per} | ${fit.slope} | ${fit.intercept} | ${(fit.error * 100).toFixed(1)}% | ${sizes} |`
  })
  return ['| Slope | Measured | Each | Fixed | Error of fit | Points |', '|---|---|---|---|---|---|', ...rows].join('\n')
}

export function renderBudgetTable (measurements: Measurements): string {
  const getFit: GetFit = (name) => measurements.slopes.find((slope) => slope.name === name)?.fit ?? { slope: 0, intercept: 0 }
  const roles = listRoles(getFit)
  const total = sumRoles(roles)
  const roleRows = [...roles, total].map((role) => `| ${role.role} | ${role.state} | ${role.messages} | ${format(role.cpuPercent)} | ${format(role.megabytes)} | ${format(role.kilobytesPerSecond)} | ${role.mechanism} | ${role.slopes} |`)
  const header = '| Role | State on one instance | Messages | CPU, % of a core | MB | KB/s | Mechanism | Slopes |\n|---|---|---|---|---|---|---|---|'
  return [header, ...roleRows, '', renderMargins(total), '', renderTraffic(getFit), '', renderStore()].join('\n')
}

function listRoles (getFit: GetFit): RoleCost[] {
  const enginesPerInstance = SYSTEM_SIZE.runners / SYSTEM_SIZE.nodes
  const reportIntervalSeconds = Math.max(0.25, (enginesPerInstance - PARAMETERS.enginesAtFullReportRate) * PARAMETERS.reportIntervalMsPerEngine / 1000)
  const reportsPerSecond = enginesPerInstance / reportIntervalSeconds
  const recipients = PARAMETERS.itemsPerRunner * PARAMETERS.subsetSize + 1
  const updateBytes = getFit('reportBytes').intercept + getFit('cacheEventBytes').slope * PARAMETERS.cacheBlocksPerReport
  const knownRunners = SYSTEM_SIZE.runners * recipients / SYSTEM_SIZE.nodes
  const changesPerSecond = SYSTEM_SIZE.changesPerDay / SECONDS_PER_DAY
  return [
    {
      role: 'collector of reports',
      state: `${format(enginesPerInstance)} engines`,
      messages: `${format(reportsPerSecond)} reports/s in, each passed to ${recipients} peers`,
      cpuPercent: reportsPerSecond * recipients * getFit('reportCpu').slope / 1e4,
      megabytes: 0.5,
      kilobytesPerSecond: reportsPerSecond * (PARAMETERS.httpBytesPerReport + recipients * updateBytes) / 1024,
      mechanism: 'rendezvous over instances; time between reports grows with the engines collected',
      slopes: 'reportBytes, cacheEventBytes, reportCpu',
    },
    {
      role: 'picker\'s tables',
      state: `${format(knownRunners)} runners`,
      messages: `${format(knownRunners / reportIntervalSeconds)} updates/s in`,
      cpuPercent: knownRunners / reportIntervalSeconds * getFit('reportCpu').slope / 1e4,
      megabytes: knownRunners * getFit('runnerMemory').slope / 1024 ** 2,
      kilobytesPerSecond: 0,
      mechanism: 'an instance knows only the runners of services whose subset it is in',
      slopes: 'runnerMemory, reportCpu',
    },
    {
      role: 'replica and relay',
      state: `${PARAMETERS.objects} objects`,
      messages: `${format(changesPerSecond)} changes/s, to 4 neighbours`,
      cpuPercent: changesPerSecond * getFit('changeCpu').slope / 1e4,
      megabytes: PARAMETERS.objects * getFit('objectMemory').slope / 1024 ** 2,
      kilobytesPerSecond: changesPerSecond * 4 * getFit('changeBytes').slope / 1024,
      mechanism: 'relay between neighbours, digests repair',
      slopes: 'objectMemory, changeCpu, changeBytes',
    },
    ...listControlRoles(getFit),
  ]
}

/** Roles whose cost doesn't depend on engine reports or configuration changes. */
function listControlRoles (getFit: GetFit): RoleCost[] {
  const shards = SYSTEM_SIZE.runners / PARAMETERS.shardAccelerators
  const listEntries = SYSTEM_SIZE.runners + SYSTEM_SIZE.nodes
  const listingsPerSecond = PARAMETERS.listReaders / SYSTEM_SIZE.nodes / PARAMETERS.listPollSeconds + 1 / PARAMETERS.listRepairSeconds
  return [
    {
      role: 'membership links',
      state: `${SYSTEM_SIZE.nodes} members, 4 to 8 links`,
      messages: '2 heartbeats/s on each link',
      cpuPercent: getFit('peerCpu').slope * 8 + Math.max(0, getFit('peerCpu').intercept),
      megabytes: 2,
      kilobytesPerSecond: (Math.max(0, getFit('peerBytes').intercept) + getFit('peerBytes').slope * 8) / 1024,
      mechanism: 'two rings of successors in place of a full mesh (from 10 instances on)',
      slopes: 'peerBytes, peerCpu',
    },
    {
      role: 'reader of the instance list',
      state: `${SYSTEM_SIZE.runners + SYSTEM_SIZE.nodes} entries`,
      messages: `a listing each ${PARAMETERS.listPollSeconds} s on ${PARAMETERS.listReaders} instances; on average here`,
      cpuPercent: listingsPerSecond * listEntries * getFit('listCpu').slope / 1e4,
      megabytes: listEntries * 700 / 1024 ** 2,
      kilobytesPerSecond: listingsPerSecond * listEntries * PARAMETERS.listBytesPerEntry / 1024,
      mechanism: 'two readers by rendezvous relay what changed; the others read it when they start and once an hour',
      slopes: 'listCpu',
    },
    {
      role: 'claims owner',
      state: `${format(PARAMETERS.keyedRequestsPerSecond * PARAMETERS.claimRetentionSeconds / 4)} claims on each of 4 owners`,
      messages: 'group commits',
      cpuPercent: 2 * PARAMETERS.keyedRequestsPerSecond / 4 * getFit('claimCpu').slope / 1e4,
      megabytes: PARAMETERS.keyedRequestsPerSecond * PARAMETERS.claimRetentionSeconds / 4 * getFit('claimMemory').slope / 1024 ** 2,
      kilobytesPerSecond: 0,
      mechanism: 'claim shards; writes bounded over all shards',
      slopes: 'claimCpu, claimMemory',
    },
    {
      role: 'placement shard owner',
      state: `${format(shards / SYSTEM_SIZE.nodes)} shards of ${PARAMETERS.shardAccelerators}`,
      messages: 'one plan a second',
      cpuPercent: shards / SYSTEM_SIZE.nodes * (getFit('planMs').intercept + getFit('planMs').slope * PARAMETERS.shardAccelerators) / 10,
      megabytes: 1,
      kilobytesPerSecond: shards / SYSTEM_SIZE.nodes * 100 * 450 / 60 / 1024,
      mechanism: 'shards with leases; engines are asked only when something is under way or differs',
      slopes: 'planMs',
    },
  ]
}

function sumRoles (roles: readonly RoleCost[]): RoleCost {
  const sum = (field: 'cpuPercent' | 'megabytes' | 'kilobytesPerSecond') => roles.reduce((total, role) => total + role[field], 0)
  return {
    role: '**all roles on one instance**',
    state: '',
    messages: '',
    cpuPercent: sum('cpuPercent'),
    megabytes: sum('megabytes'),
    kilobytesPerSecond: sum('kilobytesPerSecond'),
    mechanism: '',
    slopes: '',
  }
}

function renderMargins (total: RoleCost): string {
  const margins = [
    ['processor', total.cpuPercent, BUDGET.cpuPercent, '% of a core'],
    ['memory', total.megabytes, BUDGET.megabytes, 'MB'],
    ['control bytes', total.kilobytesPerSecond, BUDGET.kilobytesPerSecond, 'KB/s'],
  ] as const
  const rows = margins.map(([name, used, budget, unit]) => `| ${name} | ${format(used)} ${unit} | ${budget} ${unit} | ${used <= budget ? `fits, ${format(budget / used)} times` : `**does not fit**, ${format(used / budget)} times over`} |`)
  return ['| For control, one instance | At size | Budget | Margin |', '|---|---|---|---|', ...rows].join('\n')
}

function renderTraffic (getFit: GetFit): string {
  const requestsPerSecond = SYSTEM_SIZE.requests / SYSTEM_SIZE.nodes
  const tokensPerSecond = SYSTEM_SIZE.tokens / SYSTEM_SIZE.nodes
  const requestCores = requestsPerSecond * getFit('requestCpu').slope / 1e6
  const tokenCores = tokensPerSecond * getFit('tokenCpu').slope / 1e6
  const rows = [
    `| requests | ${format(requestsPerSecond)}/s | ${getFit('requestCpu').slope} µs each | ${format(requestCores)} cores |`,
    `| tokens | ${format(tokensPerSecond)}/s | ${getFit('tokenCpu').slope} µs each | ${format(tokenCores)} cores |`,
  ]
  return ['| Carrying traffic, one instance | At size | Measured | Processor |', '|---|---|---|---|', ...rows].join('\n')
}

function renderStore (): string {
  const leaseWritesPerSecond = SYSTEM_SIZE.runners / PARAMETERS.shardAccelerators / PARAMETERS.leaseRenewalSeconds
  const claimWritesPerSecond = 43
  const changesPerSecond = SYSTEM_SIZE.changesPerDay / SECONDS_PER_DAY
  const writesPerSecond = leaseWritesPerSecond + claimWritesPerSecond + changesPerSecond
  const watchers = SYSTEM_SIZE.regions * 2
  const startsPerSecond = SYSTEM_SIZE.stopsPerDay / SECONDS_PER_DAY
  const callsPerSecond = watchers / 10 + startsPerSecond + leaseWritesPerSecond
  const rows = [
    `| leases of placement shards | ${format(leaseWritesPerSecond)} | ${format(leaseWritesPerSecond)} | one write each ${PARAMETERS.leaseRenewalSeconds} s and shard |`,
    `| claims | ${claimWritesPerSecond} | 0.1 | bounded over all shards (bench claims) |`,
    `| configuration | ${format(changesPerSecond)} | ${format(watchers / 10 + changesPerSecond)} | two watchers in each region |`,
    `| starts and failures | 0 | ${format(startsPerSecond)} | a new instance is filled by peers, else by one listing |`,
    `| **all** | ${format(writesPerSecond)} of ${BUDGET.storeWrites} | ${format(callsPerSecond)} of ${BUDGET.storeReads} | ${writesPerSecond <= BUDGET.storeWrites ? `fits, ${format(BUDGET.storeWrites / writesPerSecond)} times` : '**does not fit**'} |`,
  ]
  return ['| Object API, whole system | Writes/s | Reads and watches/s | Mechanism |', '|---|---|---|---|', ...rows].join('\n')
}

function format (value: number): string {
  if (value === 0) return '0'
  return Math.abs(value) >= 100 ? value.toFixed(0) : Math.abs(value) >= 1 ? value.toFixed(1) : value.toPrecision(2)
}
