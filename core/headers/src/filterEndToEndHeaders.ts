const HOP_BY_HOP = new Set(['connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade'])

/** Returns the raw headers (alternating names and values) without hop-by-hop headers, those listed in `Connection`, and `excluded` (lower case). */
export function filterEndToEndHeaders (rawHeaders: readonly string[], excluded: ReadonlySet<string> = new Set()): string[] {
  const connectionOptions = listConnectionOptions(rawHeaders)
  const forwarded: string[] = []
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    const name = (rawHeaders[at] as string).toLowerCase()
    if (HOP_BY_HOP.has(name) || connectionOptions.has(name) || excluded.has(name)) continue
    forwarded.push(rawHeaders[at] as string, rawHeaders[at + 1] as string)
  }
  return forwarded
}

function listConnectionOptions (rawHeaders: readonly string[]): Set<string> {
  const options = new Set<string>()
  for (let at = 0; at + 1 < rawHeaders.length; at += 2) {
    if ((rawHeaders[at] as string).toLowerCase() !== 'connection') continue
    for (const option of (rawHeaders[at + 1] as string).split(',')) options.add(option.trim().toLowerCase())
  }
  return options
}
