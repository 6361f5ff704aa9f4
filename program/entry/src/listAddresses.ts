import { EntryPhases, type Entry } from './startEntry.js'

/** Lists the client addresses of all serving instances, those in the client's data hall first. */
export function listAddresses (entry: Entry, dataHall: string): string[] {
  const self = entry.readPhase() === EntryPhases.READY ? [entry.mesh.self] : []
  const serving = [...self, ...entry.mesh.listServing()]
  entry.directory.update(serving)
  return listNearestFirst(serving, dataHall).map((it) => it.address)
}

/** Moves the items in the given data hall to the front, otherwise keeping the order. */
export function listNearestFirst<T extends { dataHall: string }> (instances: readonly T[], dataHall: string): T[] {
  return [...instances.filter((it) => it.dataHall === dataHall), ...instances.filter((it) => it.dataHall !== dataHall)]
}
