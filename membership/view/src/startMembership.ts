import type { Clock } from '@pulleystack/core.clock'
import { rankMembers } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { InstanceList } from '@pulleystack/backend.interfaces'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'
import { ListCopy, type ListChanges } from './ListCopy.js'
import { listNeighbours } from './listNeighbours.js'
import { MemberStates, type MemberChange, type MembershipView, type Rumour } from './MembershipView.js'

/** Gossip about members. */
export const RUMOURS = defineChannel<Rumour>('membership.rumour')
const LIST_CHANGES = defineChannel<ListChanges>('membership.listChanges')

// In a small system all instances poll the list; in a large one a few do and send the changes to the others.
const SMALL_SYSTEM_INSTANCES = 9
const READER_COUNT = 2
const POLL_MS_PER_ENTRY = 0.4
// The others read the list at this interval, in case a change was lost.
const RESYNC_MS_PER_MEMBER = 10_000

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

interface RunningMembership extends MembershipOptions {
  copy: ListCopy
  readAt: number
  /** Whether a list is being applied; the neighbours are updated once at the end. */
  isApplying: boolean
}

/** Keeps the view up to date until the signal is aborted; resolves after the first attempt to read the list. */
export async function startMembership (opts: MembershipOptions, signal: AbortSignal): Promise<void> {
  const membership: RunningMembership = { ...opts, copy: new ListCopy(), readAt: -Infinity, isApplying: false }
  const { view, network } = opts
  const subscriptions = [
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard') view.recordHeard(event.identity)
      // A closed link is not reopened; its peer is monitored by others.
      else if (event.kind === 'silent') view.recordSilent(event.instance)
    }),
    network.receive(RUMOURS).subscribe(({ from, body }) => {
      if (view.applyRumour(body)) network.broadcast(RUMOURS, body, from)
    }),
    network.receive(LIST_CHANGES).subscribe(({ from, body }) => applyChanges(membership, from, body)),
    view.memberChanges.subscribe((change) => {
      announceChange(opts, change)
      if (!membership.isApplying) updateNeighbours(opts)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  await readList(membership)
  void keepPolling(membership, signal)
}

async function keepPolling (membership: RunningMembership, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await membership.clock.wait(Math.max(membership.listPollMs, membership.copy.size * POLL_MS_PER_ENTRY), signal)
    if (!signal.aborted && mustRead(membership)) await readList(membership)
  }
}

function mustRead (membership: RunningMembership): boolean {
  const { view } = membership
  const eligible = view.listEligible()
  if (eligible.length <= SMALL_SYSTEM_INSTANCES || membership.copy.size === 0) return true
  const readers = rankMembers('list-reader', eligible, (member) => member.instance).slice(0, READER_COUNT)
  if (readers.some((reader) => reader.instance === view.self.instance)) return true
  return membership.clock.readTime() - membership.readAt > RESYNC_MS_PER_MEMBER * eligible.length
}

async function readList (membership: RunningMembership): Promise<void> {
  const requestedAt = membership.clock.readWallTime()
  const listed = await membership.list.listInstances()
  if (listed.isErr()) return
  membership.readAt = membership.clock.readTime()
  const changes = membership.copy.replace(listed.value, requestedAt)
  applyList(membership)
  if (changes) membership.network.broadcast(LIST_CHANGES, changes)
}

function applyChanges (membership: RunningMembership, from: string, changes: ListChanges): void {
  if (!membership.copy.apply(changes)) return
  applyList(membership)
  membership.network.broadcast(LIST_CHANGES, changes, from)
}

function applyList (membership: RunningMembership): void {
  membership.isApplying = true
  membership.view.applyList(membership.copy.list())
  membership.isApplying = false
  updateNeighbours(membership)
}

function updateNeighbours (opts: MembershipOptions): void {
  const { view, network } = opts
  const others = view.listMembers().filter((member) => member.instance !== view.self.instance && member.peerAddress !== '')
  const neighbours = new Set(listNeighbours(view.self.instance, others.map((member) => member.instance)))
  network.setNeighbours(others.filter((member) => neighbours.has(member.instance)))
}

function announceChange (opts: MembershipOptions, change: MemberChange): void {
  const { member, before } = change
  const identity = { ...member, state: undefined, listed: undefined, heardAt: undefined }
  const isSelf = member.instance === opts.view.self.instance
  if (before !== undefined || isSelf) opts.network.broadcast(RUMOURS, { identity, suspect: member.state === MemberStates.SUSPECT })
  if (before === member.state) return
  opts.ring.record(STATE_EVENTS[member.state], { server: member.instance })
}
