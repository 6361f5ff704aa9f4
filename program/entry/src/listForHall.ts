import { hashText } from '@pulleystack/core.hashing'

/** An instance that clients may be told of. */
export interface HallMember {
  instance: string
  dataHall: string
  /** Processor cores; 1 if it does not say. */
  capacity?: number
}

/** A client with fewer addresses could lose all of them at once. */
const MIN_LISTED = 3

/**
 * Lists the instances that clients of a data hall are told of. Clients choose one of them with equal chance, so that an instance with a part of the
 * capacity of the largest is listed for that part of the data halls, its own first. All are listed for an unknown data hall. The order is kept.
 */
export function listForHall<T extends HallMember> (serving: readonly T[], dataHall: string): T[] {
  const halls = [...new Set(serving.map((member) => member.dataHall))]
  if (!halls.includes(dataHall)) return [...serving]
  const largest = Math.max(...serving.map(readCapacity))
  const listed = serving.filter((member) => isListed(member, dataHall, halls, readCapacity(member) / largest))
  return listed.length >= MIN_LISTED ? listed : [...serving]
}

function isListed (member: HallMember, dataHall: string, halls: readonly string[], share: number): boolean {
  const count = Math.max(1, Math.round(share * halls.length))
  if (member.dataHall === dataHall || count >= halls.length) return true
  const others = halls.filter((hall) => hall !== member.dataHall)
  const rank = (hall: string): number => hashText(`${member.instance}/${hall}`)
  return others.filter((hall) => rank(hall) < rank(dataHall)).length < count - 1
}

function readCapacity ({ capacity = 1 }: HallMember): number {
  return capacity
}
