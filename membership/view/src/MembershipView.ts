import type { Clock } from '@pulleystack/core.clock'
import { findOwner } from '@pulleystack/core.hashing'
import type { PeerIdentity } from '@pulleystack/membership.peers'
import { InstanceRoles, type ListedInstance } from '@pulleystack/backend.interfaces'
import equal from 'fast-deep-equal'
import { Subject, type Observable } from 'rxjs'

export const MemberStates = { LIVE: 'live', LEAVING: 'leaving', SUSPECT: 'suspect' } as const
export type MemberState = typeof MemberStates[keyof typeof MemberStates]

/** One entry instance as this one sees it. */
export interface Member extends PeerIdentity {
  state: MemberState
  /** In the platform's list at its last reading. */
  listed: boolean
  /** Monotone time at which anything was last heard of it. */
  heardAt: number
}

/** A change of an entry instance's state, to be passed on as a rumour. */
export interface MemberChange {
  member: Member
  before: MemberState | undefined
}

/** What instances tell each other about a third. */
export interface Rumour {
  identity: PeerIdentity
  suspect: boolean
}

// An instance that is neither listed nor heard for so long is forgotten.
const FORGET_MS = 15_000

/** Joins the lagging list, what links show and what peers tell to one picture of who is there. */
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

  /** Every entry instance known, suspects included. */
  listMembers (): Member[] {
    return [...this.members.values()]
  }

  /** Instances that may own work and be given to callers. */
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

  /** The instance that should do a piece of work; whether it may is for the object API to say. */
  findOwner (key: string): string {
    return findOwner(key, this.listEligible().map((member) => member.instance)) ?? this.opts.self.instance
  }

  isOwner (key: string): boolean {
    return this.findOwner(key) === this.opts.self.instance
  }

  /** Takes the platform's list as just read. */
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

  /** A peer was heard over a link, which outweighs any suspicion. */
  noteHeard (identity: PeerIdentity): void {
    const present = this.members.get(identity.instance)
    if (present && identity.incarnation < present.incarnation) return
    if (identity.instance === this.opts.self.instance) return
    const state = identity.leaving ? MemberStates.LEAVING : MemberStates.LIVE
    this.setMember({ ...identity, state, listed: present?.listed ?? false, heardAt: this.opts.clock.readTime() })
  }

  /** A peer that should answer does not. */
  noteSilent (instance: string): void {
    const member = this.members.get(instance)
    if (member && instance !== this.opts.self.instance) this.setMember({ ...member, state: MemberStates.SUSPECT })
  }

  /** Takes a rumour; true when it told something new and should be passed on. */
  applyRumour (rumour: Rumour): boolean {
    const { identity } = rumour
    if (identity.instance === this.opts.self.instance) return this.refute(rumour)
    const present = this.members.get(identity.instance)
    if (present && identity.incarnation < present.incarnation) return false
    const state = chooseState(rumour)
    if (present && identity.incarnation === present.incarnation && getRank(state) <= getRank(present.state)) return false
    this.setMember({ ...identity, state, listed: present?.listed ?? false, heardAt: present?.heardAt ?? this.opts.clock.readTime() })
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
    const present = this.members.get(entry.id)
    if (present) {
      const state = entry.leaving && present.state === MemberStates.LIVE ? MemberStates.LEAVING : present.state
      this.setMember({ ...present, state, listed: true, leaving: present.leaving || entry.leaving })
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
    if (this.opts.clock.readTime() - member.heardAt > FORGET_MS) this.members.delete(member.instance)
    else if (member.listed) this.members.set(member.instance, { ...member, listed: false })
  }

  private setMember (member: Member): void {
    const before = this.members.get(member.instance)
    this.members.set(member.instance, member)
    if (before?.state === member.state && before.incarnation === member.incarnation && before.peerAddress === member.peerAddress) return
    this.memberChanged.next({ member, before: before?.state })
  }
}

function chooseState (rumour: Rumour): MemberState {
  if (rumour.suspect) return MemberStates.SUSPECT
  return rumour.identity.leaving ? MemberStates.LEAVING : MemberStates.LIVE
}

// Within one incarnation bad news goes before good; only a higher incarnation or the instance itself takes it back.
function getRank (state: MemberState): number {
  return state === MemberStates.LIVE ? 0 : state === MemberStates.LEAVING ? 1 : 2
}
