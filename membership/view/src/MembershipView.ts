import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerIdentity } from '@pulleystack/membership.peers'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'
import { Subject, type Observable } from 'rxjs'

export const MemberStates = { LIVE: 'live', LEAVING: 'leaving', SUSPECT: 'suspect' } as const
export type MemberState = typeof MemberStates[keyof typeof MemberStates]

/** An entry instance and its state as seen by this one. */
export interface Member extends PeerIdentity {
  state: MemberState
  /** Whether the last read of the platform's list included it. */
  listed: boolean
  /** Monotonic time of the last sign of life, in ms. */
  heardAt: number
}

/** A change of an entry instance, to be spread as a rumour. */
export interface MemberChange {
  member: Member
  before: MemberState | undefined
}

/** A gossip message about an instance. */
export interface Rumour {
  identity: PeerIdentity
  suspect: boolean
}

// An instance that has been neither listed nor heard from for longer than this is removed.
const REMOVE_AFTER_MS = 15_000

/** Merges the platform's list, which may lag, with the state of links and with gossip into one view of the members. */
export class MembershipView {
  private readonly members = new Map<string, Member>()
  private servers = new Map<string, ListedInstance>()
  private readonly memberChanged = new Subject<MemberChange>()
  private readonly serversChanged = new Subject<void>()

  constructor (private readonly opts: { clock: Clock, self: PeerIdentity }) {
    this.setMember({ ...opts.self, state: MemberStates.LIVE, listed: false, heardAt: Infinity })
  }

  get memberChanges (): Observable<MemberChange> {
    return this.memberChanged
  }

  get serverChanges (): Observable<void> {
    return this.serversChanged
  }

  get self (): Member {
    return this.members.get(this.opts.self.instance) as Member
  }

  /** Lists all known entry instances, including suspected ones. */
  listMembers (): Member[] {
    return [...this.members.values()]
  }

  /** Lists the instances that may own work and be returned to callers. */
  listEligible (): Member[] {
    return this.listMembers().filter((member) => member.state === MemberStates.LIVE)
  }

  findMember (instance: string): Member | undefined {
    return this.members.get(instance)
  }

  listServers (): ListedInstance[] {
    return [...this.servers.values()]
  }

  findServer (id: string): ListedInstance | undefined {
    return this.servers.get(id)
  }

  /** Finds the preferred owner of a key, which may act only with a grant from the object store. */
  findOwner (key: string): string {
    return findOwner(key, this.listEligible().map((member) => member.instance)) ?? this.opts.self.instance
  }

  isOwner (key: string): boolean {
    return this.findOwner(key) === this.opts.self.instance
  }

  /** Applies a read of the platform's list. */
  applyList (list: readonly ListedInstance[]): void {
    const entries = list.filter((it) => it.role === InstanceRoles.ENTRY)
    const servers = new Map(list.filter((it) => it.role !== InstanceRoles.ENTRY).map((it) => [it.id, it]))
    for (const entry of entries) this.applyListed(entry)
    const listed = new Set(entries.map((it) => it.id))
    for (const member of this.listMembers()) {
      if (!listed.has(member.instance)) this.applyUnlisted(member)
    }
    if (equal([...servers.values()], [...this.servers.values()])) return
    this.servers = servers
    this.serversChanged.next()
  }

  /** Records a sign of life over a link, which overrides any suspicion. */
  recordHeard (identity: PeerIdentity): void {
    const existing = this.members.get(identity.instance)
    if (existing && identity.incarnation < existing.incarnation) return
    if (identity.instance === this.opts.self.instance) return
    const state = identity.leaving ? MemberStates.LEAVING : MemberStates.LIVE
    this.setMember({ ...identity, state, listed: existing?.listed ?? false, heardAt: this.opts.clock.readTime() })
  }

  /** Marks a peer that does not answer as suspected. */
  recordSilent (instance: string): void {
    const member = this.members.get(instance)
    if (member && instance !== this.opts.self.instance) this.setMember({ ...member, state: MemberStates.SUSPECT })
  }

  /** Applies a rumour; returns true when it is new and should be spread. */
  applyRumour (rumour: Rumour): boolean {
    const { identity } = rumour
    if (identity.instance === this.opts.self.instance) return this.refute(rumour)
    const existing = this.members.get(identity.instance)
    if (existing && identity.incarnation < existing.incarnation) return false
    const state = chooseState(rumour)
    if (existing && identity.incarnation === existing.incarnation && getPrecedence(state) <= getPrecedence(existing.state)) return false
    this.setMember({ ...identity, state, listed: existing?.listed ?? false, heardAt: existing?.heardAt ?? this.opts.clock.readTime() })
    return true
  }

  /** Marks this instance as leaving. */
  setLeaving (): void {
    const self = this.self
    this.setMember({ ...self, leaving: true, incarnation: self.incarnation + 1, state: MemberStates.LEAVING })
  }

  private refute (rumour: Rumour): boolean {
    const self = this.self
    if (!rumour.suspect || rumour.identity.incarnation < self.incarnation) return false
    this.setMember({ ...self, incarnation: rumour.identity.incarnation + 1 })
    return false
  }

  private applyListed (entry: ListedInstance): void {
    const existing = this.members.get(entry.id)
    if (existing) {
      const state = entry.leaving && existing.state === MemberStates.LIVE ? MemberStates.LEAVING : existing.state
      this.setMember({ ...existing, state, listed: true, leaving: existing.leaving || entry.leaving })
      return
    }
    this.setMember({
      instance: entry.id,
      incarnation: 0,
      address: entry.address,
      peerAddress: entry.peerAddress ?? '',
      region: entry.region,
      dataHall: entry.dataHall,
      leaving: entry.leaving,
      state: entry.leaving ? MemberStates.LEAVING : MemberStates.LIVE,
      listed: true,
      heardAt: this.opts.clock.readTime(),
    })
  }

  private applyUnlisted (member: Member): void {
    if (member.instance === this.opts.self.instance) return
    if (this.opts.clock.readTime() - member.heardAt > REMOVE_AFTER_MS) this.members.delete(member.instance)
    else if (member.listed) this.members.set(member.instance, { ...member, listed: false })
  }

  private setMember (member: Member): void {
    const previous = this.members.get(member.instance)
    this.members.set(member.instance, member)
    if (previous?.state === member.state && previous.incarnation === member.incarnation && previous.peerAddress === member.peerAddress) return
    this.memberChanged.next({ member, before: previous?.state })
  }
}

function chooseState (rumour: Rumour): MemberState {
  if (rumour.suspect) return MemberStates.SUSPECT
  return rumour.identity.leaving ? MemberStates.LEAVING : MemberStates.LIVE
}

// Within an incarnation the worse state wins; only a higher incarnation or the instance itself can override it.
function getPrecedence (state: MemberState): number {
  return state === MemberStates.LIVE ? 0 : state === MemberStates.LEAVING ? 1 : 2
}
