/** Milliseconds for which a software version counts after it was last seen, and for which the origin of a stream is kept. */
export const RETENTION_MS = 120_000
