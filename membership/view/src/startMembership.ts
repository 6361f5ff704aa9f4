import type { Clock } from '@pulleystack/core.clock'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { InstanceList } from '@pulleystack/platform.interfaces'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'
import { listNeighbours } from './listNeighbours.js'
import { MemberStates, type MemberChange, type MembershipView, type Rumour } from './MembershipView.js'

/** Rumours about members. */
export const RUMOURS = defineChannel<Rumour>('membership.rumour')

// The whole fleet together asks the list about this often, however many instances there are.
const LIST_CALLS_PER_SECOND = 40

const STATE_EVENTS = {
  [MemberStates.LIVE]: EventKinds.MEMBER_JOINED,
  [MemberStates.LEAVING]: EventKinds.MEMBER_LEAVING,
  [MemberStates.SUSPECT]: EventKinds.MEMBER_SUSPECTED,
} as const

export interface MembershipOptions {
  clock: Clock
  view: MembershipView
  network: PeerNetwork
  list: InstanceList
  ring: EventRing
  listPollMs: number
}

/** Keeps the view up to date until the signal ends; resolves when the list was read or has failed for the first time. */
export async function startMembership (opts: MembershipOptions, signal: AbortSignal): Promise<void> {
  const { view, network } = opts
  const subscriptions = [
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard') view.noteHeard(event.identity)
      else view.noteSilent(event.instance)
    }),
    network.receive(RUMOURS).subscribe(({ from, body }) => {
      if (view.applyRumour(body)) network.broadcast(RUMOURS, body, from)
    }),
    view.memberChanges.subscribe((change) => {
      spreadChange(opts, change)
      updateNeighbours(opts)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  await readList(opts)
  void keepReading(opts, signal)
}

async function keepReading (opts: MembershipOptions, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    const members = opts.view.listMembers().length
    await opts.clock.wait(Math.max(opts.listPollMs, members / LIST_CALLS_PER_SECOND * 1000), signal)
    if (!signal.aborted) await readList(opts)
  }
}

async function readList (opts: MembershipOptions): Promise<void> {
  const listed = await opts.list.listInstances()
  if (listed.isErr()) return
  opts.view.applyList(listed.value)
  updateNeighbours(opts)
}

function updateNeighbours (opts: MembershipOptions): void {
  const { view, network } = opts
  const others = view.listMembers().filter((member) => member.instance !== view.self.instance && member.peerAddress !== '')
  const chosen = new Set(listNeighbours(view.self.instance, others.map((member) => member.instance)))
  network.setNeighbours(others.filter((member) => chosen.has(member.instance)))
}

function spreadChange (opts: MembershipOptions, change: MemberChange): void {
  const { member, before } = change
  const identity = { ...member, state: undefined, listed: undefined, heardAt: undefined }
  const isSelf = member.instance === opts.view.self.instance
  if (before !== undefined || isSelf) opts.network.broadcast(RUMOURS, { identity, suspect: member.state === MemberStates.SUSPECT })
  if (before === member.state) return
  opts.ring.record(STATE_EVENTS[member.state], { server: member.instance })
}
