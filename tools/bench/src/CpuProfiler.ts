import { Session, type Profiler } from 'node:inspector/promises'

const MICROSECONDS = 1e6

/** Takes a profile of this process's own JavaScript. */
export class ProfileTaker {
  private readonly session = new Session()

  async start (): Promise<void> {
    this.session.connect()
    await this.session.post('Profiler.enable')
    await this.session.post('Profiler.start')
  }

  /** Ends the profile; gives functions by the share of time spent in themselves. */
  async stop (count = 25): Promise<{ place: string, share: number }[]> {
    const { profile } = await this.session.post('Profiler.stop')
    this.session.disconnect()
    return listHottest(profile, count)
  }
}

function listHottest (profile: Profiler.Profile, count: number): { place: string, share: number }[] {
  const places = new Map(profile.nodes.map((node) => [node.id, `${node.callFrame.functionName || '(anonymous)'} ${shorten(node.callFrame.url)}:${node.callFrame.lineNumber + 1}`]))
  const times = new Map<string, number>()
  profile.samples?.forEach((id, i) => {
    const place = places.get(id) ?? '?'
    times.set(place, (times.get(place) ?? 0) + (profile.timeDeltas?.[i] ?? 0) / MICROSECONDS)
  })
  const busy = [...times].filter(([place]) => !place.startsWith('(idle)')).reduce((sum, [, time]) => sum + time, 0)
  const sorted = [...times].filter(([place]) => !place.startsWith('(idle)')).sort((a, b) => b[1] - a[1])
  return sorted.slice(0, count).map(([place, time]) => ({ place, share: time / busy }))
}

function shorten (url: string): string {
  return url.split('/').slice(-3).join('/')
}
