import type { ReceivedOrder } from '../RecordingServers.js'

/** What no server may see. */
export const ArrivalFaults = {
  LOWER_FENCE: 'lower fence after a higher one',
  SHARED_FENCE: 'one fence of two holders',
  CLOSE_TURN: 'two holders within the minimum time',
} as const
export type ArrivalFault = typeof ArrivalFaults[keyof typeof ArrivalFaults]

/** Names the faults of the orders that servers received, each with the first order that shows it. */
export function judgeArrivals (received: readonly ReceivedOrder[], minGapMs: number): Map<ArrivalFault, string> {
  const found = new Map<ArrivalFault, string>()
  const earlierByServer = new Map<string, Map<string, ReceivedOrder>>()
  for (const order of received) {
    const earlier = earlierByServer.get(order.server) ?? new Map<string, ReceivedOrder>()
    earlierByServer.set(order.server, earlier)
    for (const former of earlier.values()) {
      const fault = compareOrders(former, order, minGapMs)
      if (fault && !found.has(fault)) found.set(fault, describePair(former, order))
    }
    earlier.set(`${order.holder}/${order.fence}`, order)
  }
  return found
}

function compareOrders (former: ReceivedOrder, order: ReceivedOrder, minGapMs: number): ArrivalFault | undefined {
  if (former.fence > order.fence) return ArrivalFaults.LOWER_FENCE
  if (former.holder === order.holder) return undefined
  if (former.fence === order.fence) return ArrivalFaults.SHARED_FENCE
  return order.at - former.at < minGapMs ? ArrivalFaults.CLOSE_TURN : undefined
}

function describePair (former: ReceivedOrder, order: ReceivedOrder): string {
  return `${order.server}: ${order.holder}/${order.fence} ${Math.round(order.at - former.at)} ms after ${former.holder}/${former.fence}`
}
