import { EntryPhases, type Entry } from './startEntry.js'

/** With fewer in a data hall its clients are told of all others too, so that one that dies leaves them a choice. */
const MIN_IN_HALL = 2

/** Client addresses of the instances that take requests in the asker's data hall; of all when there are few in it. */
export function listAddresses (entry: Entry, dataHall: string): string[] {
  const self = entry.readPhase() === EntryPhases.READY ? [entry.mesh.self] : []
  const all = [...self, ...entry.mesh.listServing()]
  const inHall = all.filter((it) => it.dataHall === dataHall)
  const told = inHall.length >= MIN_IN_HALL ? inHall : [...inHall, ...all.filter((it) => it.dataHall !== dataHall)]
  return told.map((it) => it.address)
}
