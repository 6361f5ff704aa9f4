import fs from 'node:fs'

/** Names of the users' platform, as its pages spell them. */
export const names = JSON.parse(fs.readFileSync(new URL('names.json', import.meta.url), 'utf8'))
