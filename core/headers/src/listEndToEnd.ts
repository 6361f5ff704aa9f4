/** Headers that concern one connection only. */
const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Headers that may be passed on, names and values by turns, without those named in `Connection` and those in `left out`. */
export function listEndToEnd (rawHeaders: readonly string[], leftOut: ReadonlySet<string> = new Set()): string[] {
  const named = listConnectionOptions(rawHeaders)
  const passed: string[] = []
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = (rawHeaders[at] as string).toLowerCase()
    if (HOP_BY_HOP.has(name) || named.has(name) || leftOut.has(name)) continue
    passed.push(rawHeaders[at] as string, rawHeaders[at + 1] as string)
  }
  return passed
}

function listConnectionOptions (rawHeaders: readonly string[]): Set<string> {
  const named = new Set<string>()
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if ((rawHeaders[at] as string).toLowerCase() !== 'connection') continue
    for (const option of (rawHeaders[at + 1] as string).split(',')) named.add(option.trim().toLowerCase())
  }
  return named
}
