const MAX_SHOWN_CHARACTERS = 64

/** Formats an invalid header for a log line. Long values are truncated. */
export function formatInvalidHeader (name: string, value: string | readonly string[]): string {
  return `${name}: ${String(value).slice(0, MAX_SHOWN_CHARACTERS)}`
}
