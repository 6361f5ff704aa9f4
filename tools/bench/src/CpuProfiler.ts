import { Session, type Profiler } from 'node:inspector/promises'

const MICROS_PER_SECOND = 1e6

/** Profiles the JavaScript of this process. */
export class CpuProfiler {
  private readonly session = new Session()

  async start (): Promise<void> {
    this.session.connect()
    await this.session.post('Profiler.enable')
    await this.session.post('Profiler.start')
  }

  /** Ends the profile and returns the functions with the largest self time, as shares of the busy time. */
  async stop (count = 25): Promise<{ place: string, share: number }[]> {
    const { profile } = await this.session.post('Profiler.stop')
    this.session.disconnect()
    return listHottestFunctions(profile, count)
  }
}

function listHottestFunctions (profile: Profiler.Profile, count: number): { place: string, share: number }[] {
  const places = new Map(profile.nodes.map((node) => [node.id, `${node.callFrame.functionName || '(anonymous)'} ${shorten(node.callFrame.url)}:${node.callFrame.lineNumber + 1}`]))
  const secondsByPlace = new Map<string, number>()
  profile.samples?.forEach((id, i) => {
    const place = places.get(id) ?? '?'
    secondsByPlace.set(place, (secondsByPlace.get(place) ?? 0) + (profile.timeDeltas?.[i] ?? 0) / MICROS_PER_SECOND)
  })
  const busySeconds = [...secondsByPlace].filter(([place]) => !place.startsWith('(idle)')).reduce((sum, [, seconds]) => sum + seconds, 0)
  const sorted = [...secondsByPlace].filter(([place]) => !place.startsWith('(idle)')).sort((a, b) => b[1] - a[1])
  return sorted.slice(0, count).map(([place, seconds]) => ({ place, share: seconds / busySeconds }))
}

function shorten (url: string): string {
  return url.split('/').slice(-3).join('/')
}
