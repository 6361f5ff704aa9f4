import { EntryPhases, type Entry } from './startEntry.js'

/** Client addresses of all instances that take requests, those in the asker's zone first. */
export function listAddresses (entry: Entry, zone: string): string[] {
  const self = entry.readPhase() === EntryPhases.READY ? [entry.mesh.self] : []
  const all = [...self, ...entry.mesh.listServing()]
  return [...all.filter((it) => it.dataHall === zone), ...all.filter((it) => it.dataHall !== zone)].map((it) => it.address)
}
