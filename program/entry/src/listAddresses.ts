import { EntryPhases, type Entry } from './startEntry.js'

/** Client addresses of all instances that take requests, those in the asker's data hall first. */
export function listAddresses (entry: Entry, dataHall: string): string[] {
  const self = entry.readPhase() === EntryPhases.READY ? [entry.mesh.self] : []
  const serving = [...self, ...entry.mesh.listServing()]
  entry.directory.update(serving)
  return listNearFirst(serving, dataHall).map((it) => it.address)
}

/** Those in the data hall first, each part in the order given. */
export function listNearFirst<T extends { dataHall: string }> (located: readonly T[], dataHall: string): T[] {
  return [...located.filter((it) => it.dataHall === dataHall), ...located.filter((it) => it.dataHall !== dataHall)]
}
