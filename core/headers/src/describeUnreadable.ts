/** Characters of an unreadable value that are shown. */
const MAX_SHOWN = 64

/** A header that could not be read, shortened for a log line. */
export function describeUnreadable (name: string, value: string | readonly string[]): string {
  return `${name}: ${String(value).slice(0, MAX_SHOWN)}`
}
