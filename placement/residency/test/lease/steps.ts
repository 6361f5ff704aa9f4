import { Events } from './ProcessGate.js'
import type { LeaseWorld, Process } from './LeaseWorld.js'

const RESTART_MS = 300
const ORDER_FAULT_MS = 400

/** Applies a fault to the process that holds the lease. */
type Step = (world: LeaseWorld, holder: Process) => void

/** Faults and changes by name. */
export const STEPS = {
  kill: (world, holder) => world.kill(holder),
  restart: (world, holder) => {
    world.kill(holder)
    world.clock.setTimer(RESTART_MS, () => world.startProcess(holder.node.name, holder.run + 1))
  },
  stop: (world, holder) => holder.gate.pass(Events.ARRIVAL, () => void holder.node.service.stop().then(() => world.kill(holder))),
  suspend: (world, holder) => {
    holder.gate.isSuspended = true
    holder.unreachableSince = world.clock.readTime()
  },
  cutStore: (world, holder) => {
    holder.node.store.unavailableSince = world.clock.readTime()
  },
  storeDown: (world) => {
    for (const { node } of world.living) node.store.unavailableSince ??= world.clock.readTime()
  },
  cutPeers: (world, holder) => {
    silencePeers(world, holder, true, true)
    holder.unreachableSince = world.clock.readTime()
  },
  losePeersOut: (world, holder) => silencePeers(world, holder, true, false),
  losePeersIn: (world, holder) => silencePeers(world, holder, false, true),
  latePeers: (world, holder) => {
    world.hub.lateMs.set(holder.node.name, 1_000)
  },
  cutServers: (world, holder) => world.setCutOff(holder, true),
  lateOrder2: (world, holder) => setOrderFault(world, holder, 2_500),
  lateOrder8: (world, holder) => setOrderFault(world, holder, 8_000),
  lateOrder12: (world, holder) => setOrderFault(world, holder, 11_900),
  loseOrder: (world, holder) => setOrderFault(world, holder, Infinity),
  loseAnswer: (world, holder) => setOrderFault(world, holder, 10),
  lateWrite: (_, holder) => {
    holder.store.nextWriteLateMs = 1_500
  },
  restoreStore: (world) => world.restoreSnapshot(),
  resume: (world) => world.resumeAll(),
  healPeers: (world) => world.healPeers(),
  heal: (world) => world.healAll(),
} as const satisfies Record<string, Step>
export type StepName = keyof typeof STEPS

/** Takes a step; nothing happens when no process could hold the lease, or the last one would end. */
export function applyStep (world: LeaseWorld, name: StepName): void {
  const { holder } = world
  const endsLast = world.living.length === 1 && (name === 'kill' || name === 'stop')
  if (holder === undefined || endsLast) return
  const step: Step = STEPS[name]
  step(world, holder)
}

function silencePeers (world: LeaseWorld, { node }: Process, isOut: boolean, isIn: boolean): void {
  for (const other of world.processes.keys()) {
    if (other === node.name) continue
    if (isOut) world.hub.silence(node.name, other)
    if (isIn) world.hub.silence(other, node.name)
  }
}

/** Lets orders of the next moments arrive after `arrivalMs` milliseconds, without an answer. */
function setOrderFault ({ clock }: LeaseWorld, { orders }: Process, arrivalMs: number): void {
  orders.fault = { until: clock.readTime() + ORDER_FAULT_MS, arrivalMs, isAnswerLost: true }
}
