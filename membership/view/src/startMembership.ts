import type { Clock } from '@pulleystack/core.clock'
import { listRanked } from '@pulleystack/core.hashing'
import { defineChannel, type PeerNetwork } from '@pulleystack/membership.peers'
import type { InstanceList } from '@pulleystack/backend.interfaces'
import { EventKinds, type EventRing } from '@pulleystack/timeline.events'
import { ListCopy, type ListChanges } from './ListCopy.js'
import { listNeighbours } from './listNeighbours.js'
import { MemberStates, type MemberChange, type MembershipView, type Rumour } from './MembershipView.js'

/** Rumours about members. */
export const RUMOURS = defineChannel<Rumour>('membership.rumour')
const LIST_CHANGES = defineChannel<ListChanges>('membership.listChanges')

// In a small system everybody reads the list; in a large one few do, and tell the others what changed.
const SMALL_SYSTEM = 9
const READERS = 2
const READ_MS_PER_ENTRY = 0.4
// The others read it themselves this often, in case a change was lost on its way to them.
const REPAIR_MS_PER_MEMBER = 10_000

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

interface Running extends MembershipOptions {
  copy: ListCopy
  readAt: number
  /** A whole list is being taken in; neighbours are chosen once it is. */
  taking: boolean
}

/** Keeps the view up to date until the signal ends; resolves when the list was read or has failed for the first time. */
export async function startMembership (opts: MembershipOptions, signal: AbortSignal): Promise<void> {
  const running: Running = { ...opts, copy: new ListCopy(), readAt: -Infinity, taking: false }
  const { view, network } = opts
  const subscriptions = [
    network.peerEvents.subscribe((event) => {
      if (event.kind === 'heard') view.noteHeard(event.identity)
      // A link that was opened for one use ends; of that peer others tell.
      else if (event.kind === 'silent') view.noteSilent(event.instance)
    }),
    network.receive(RUMOURS).subscribe(({ from, body }) => {
      if (view.applyRumour(body)) network.broadcast(RUMOURS, body, from)
    }),
    network.receive(LIST_CHANGES).subscribe(({ from, body }) => takeChanges(running, from, body)),
    view.memberChanges.subscribe((change) => {
      spreadChange(opts, change)
      if (!running.taking) updateNeighbours(opts)
    }),
  ]
  signal.addEventListener('abort', () => subscriptions.forEach((it) => it.unsubscribe()))
  await readList(running)
  void keepReading(running, signal)
}

async function keepReading (running: Running, signal: AbortSignal): Promise<void> {
  while (!signal.aborted) {
    await running.clock.wait(Math.max(running.listPollMs, running.copy.size * READ_MS_PER_ENTRY), signal)
    if (!signal.aborted && mustRead(running)) await readList(running)
  }
}

function mustRead (running: Running): boolean {
  const { view } = running
  const eligible = view.listEligible()
  if (eligible.length <= SMALL_SYSTEM || running.copy.size === 0) return true
  const readers = listRanked('list-reader', eligible, (member) => member.instance).slice(0, READERS)
  if (readers.some((reader) => reader.instance === view.self.instance)) return true
  return running.clock.readTime() - running.readAt > REPAIR_MS_PER_MEMBER * eligible.length
}

async function readList (running: Running): Promise<void> {
  const askedAt = running.clock.readWallTime()
  const listed = await running.list.listInstances()
  if (listed.isErr()) return
  running.readAt = running.clock.readTime()
  const changes = running.copy.replace(listed.value, askedAt)
  takeList(running)
  if (changes) running.network.broadcast(LIST_CHANGES, changes)
}

function takeChanges (running: Running, from: string, changes: ListChanges): void {
  if (!running.copy.apply(changes)) return
  takeList(running)
  running.network.broadcast(LIST_CHANGES, changes, from)
}

function takeList (running: Running): void {
  running.taking = true
  running.view.applyList(running.copy.list())
  running.taking = false
  updateNeighbours(running)
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
