import { listForHall } from './listForHall.js'
import { EntryPhases, type Entry } from './startEntry.js'

/** Lists the client addresses of the serving instances for clients of a data hall, those in it first. */
export function listAddresses (entry: Entry, dataHall: string): string[] {
  const self = entry.readPhase() === EntryPhases.READY ? [entry.mesh.self] : []
  const serving = [...self, ...entry.mesh.listServing()]
  entry.directory.update(serving)
  return listNearestFirst(listForHall(serving, dataHall), dataHall).map((it) => it.address)
}

/** Moves the items in the given data hall to the front, otherwise keeping the order. */
export function listNearestFirst<T extends { dataHall: string }> (instances: readonly T[], dataHall: string): T[] {
  return [...instances.filter((it) => it.dataHall === dataHall), ...instances.filter((it) => it.dataHall !== dataHall)]
}
