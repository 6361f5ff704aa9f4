import { EntryPhases, type Entry } from './startEntry.js'

/** Client addresses of all instances that take requests, those in the asker's data hall first. */
export function listAddresses (entry: Entry, dataHall: string): string[] {
  const self = entry.readPhase() === EntryPhases.READY ? [entry.mesh.self] : []
  const all = [...self, ...entry.mesh.listServing()]
  return [...all.filter((it) => it.dataHall === dataHall), ...all.filter((it) => it.dataHall !== dataHall)].map((it) => it.address)
}
