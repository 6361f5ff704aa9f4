import { mkdir, readFile, writeFile } from 'node:fs/promises'
import path from 'node:path'
import { PulleystackError } from '@pulleystack/core.errors'
import { createAccessKey, createAuthority, createCertificate, checkKeyPair, type KeyPair } from '@pulleystack/membership.keys'
import type { Command } from 'cac'
import { ExitCodes, type CommandContext, type ExitCode } from '../Command.js'

export interface CertificatesOptions {
  dir?: string
  days?: number
}

const DEFAULT_VALIDITY_DAYS = 365
const SECRET_FILE_MODE = 0o600

export const name = 'create-certificates [...instances]'
export const description = 'Create the certificate authority, the peer secret and a certificate for each given instance'

export function help (command: Command): void {
  command
    .option('--dir <folder>', 'Output folder')
    .option('--days <days>', 'Validity in days')
    .example('pulleystack create-certificates --dir keys entry-1 entry-2')
}

export async function handler (context: CommandContext, instances: readonly string[], opts: CertificatesOptions): Promise<ExitCode> {
  if (!opts.dir) throw new PulleystackError('USAGE', 'No folder specified', { hint: 'Use --dir FOLDER.' })
  const dir = opts.dir
  const validity = { days: Number(opts.days ?? DEFAULT_VALIDITY_DAYS), now: new Date() }
  await mkdir(dir, { recursive: true })
  const authority = await readPair(dir, 'authority') ?? await writePair(dir, 'authority', createAuthority({ name: 'pulleystack', ...validity }))
  // An existing authority may be damaged.
  checkKeyPair(authority)
  await writeFile(path.join(dir, 'peers.secret'), createAccessKey('peers'), { mode: SECRET_FILE_MODE, flag: 'wx' }).catch(() => undefined)
  for (const instance of instances) await writePair(dir, instance, createCertificate(authority, { name: instance, ...validity }))
  context.write(`Wrote ${instances.length} certificates to ${dir}`)
  return ExitCodes.OK
}

async function readPair (dir: string, file: string): Promise<KeyPair | undefined> {
  try {
    const [certificate, key] = await Promise.all(['crt', 'key'].map((ending) => readFile(path.join(dir, `${file}.${ending}`), 'utf8')))
    return { certificate: certificate as string, key: key as string }
  } catch {
    return undefined
  }
}

async function writePair (dir: string, file: string, pair: KeyPair): Promise<KeyPair> {
  // Fails here rather than when an instance starts.
  checkKeyPair(pair)
  await writeFile(path.join(dir, `${file}.crt`), pair.certificate)
  await writeFile(path.join(dir, `${file}.key`), pair.key, { mode: SECRET_FILE_MODE })
  return pair
}
