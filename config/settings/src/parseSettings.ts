import { readFile } from 'node:fs/promises'
import { PulleystackError } from '@pulleystack/core.errors'
import { parse, printParseErrorCode, type ParseError } from 'jsonc-parser'
import { err, ok, type Result } from 'neverthrow'
import type * as z from 'zod'
import { policySchema, type Policy } from './policySchema.js'
import { settingsSchema, type Settings } from './settingsSchema.js'

type Environment = Readonly<Record<string, string | undefined>>
type JsonMap = Record<string, unknown>

/** Environment variables that override the file, and the path of the field that each sets. */
const ENVIRONMENT_OVERRIDES: Readonly<Record<string, readonly string[]>> = {
  PULLEYSTACK_INSTANCE: ['instance'],
  PULLEYSTACK_REGION: ['region'],
  PULLEYSTACK_DATA_HALL: ['dataHall'],
  PULLEYSTACK_LISTEN_CALLERS: ['listen', 'callers'],
  PULLEYSTACK_LISTEN_PEERS: ['listen', 'peers'],
  PULLEYSTACK_OBJECT_API: ['platform', 'objectApi'],
  PULLEYSTACK_INSTANCE_LIST: ['platform', 'instanceList'],
  PULLEYSTACK_WEIGHT_STORE: ['platform', 'weightStore'],
  PULLEYSTACK_LOG: ['log'],
}

/** Reads and validates a settings file. */
export async function readSettingsFile (file: string, environment: Environment): Promise<Result<Settings, PulleystackError>> {
  try {
    return parseSettings(await readFile(file, 'utf8'), environment)
  } catch (cause) {
    return err(new PulleystackError('SETTINGS_UNREADABLE', `Settings file ${file} cannot be read`, { cause, hint: 'Give an existing file with --settings.' }))
  }
}

/** Reads and validates a policy file. */
export async function readPolicyFile (file: string): Promise<Result<Policy, PulleystackError>> {
  try {
    return parsePolicy(await readFile(file, 'utf8'))
  } catch (cause) {
    return err(new PulleystackError('SETTINGS_UNREADABLE', `Policy file ${file} cannot be read`, { cause, hint: 'Give an existing file with --policy.' }))
  }
}

/** Validates the text of a policy file; missing keys get their defaults. */
export function parsePolicy (text: string): Result<Policy, PulleystackError> {
  const hint = `Allowed keys are ${Object.keys(policySchema.shape).join(', ')}, each true or false.`
  return parseObject(text).andThen((value) => checkValue(policySchema, value, hint))
}

/** Validates the text of a settings file; the error names the field, its value and what is allowed. */
export function parseSettings (text: string, environment: Environment = {}): Result<Settings, PulleystackError> {
  const hint = 'examples/settings.jsonc shows every setting with its allowed values.'
  return parseObject(text).andThen((value) => checkValue(settingsSchema, applyOverrides(value, environment), hint))
}

function parseObject (text: string): Result<JsonMap, PulleystackError> {
  const errors: ParseError[] = []
  const value: unknown = parse(text, errors, { allowTrailingComma: true })
  const error = errors[0]
  if (error) {
    const line = text.slice(0, error.offset).split('\n').length
    return err(new PulleystackError('SETTINGS_UNREADABLE', `Settings are not valid JSON with comments: ${printParseErrorCode(error.error)} in line ${line}`))
  }
  if (typeof value !== 'object' || value === null) return err(new PulleystackError('SETTINGS_UNREADABLE', 'Settings must be a JSON object'))
  return ok(value as JsonMap)
}

function checkValue<Schema extends z.ZodType> (schema: Schema, value: JsonMap, hint: string): Result<z.infer<Schema>, PulleystackError> {
  const checked = schema.safeParse(value)
  if (checked.success) return ok(checked.data)
  const issue = checked.error.issues[0]
  const path = issue?.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] as string] : issue?.path ?? []
  const field = path.join('.')
  const actual = JSON.stringify(readPath(value, path)) ?? 'absent'
  return err(new PulleystackError('SETTING_INVALID', `Setting "${field}" has the value ${actual}: ${issue?.message ?? 'not allowed'}`, {
    field,
    hint,
  }))
}

function applyOverrides (value: JsonMap, environment: Environment): JsonMap {
  const changed = structuredClone(value)
  for (const [name, path] of Object.entries(ENVIRONMENT_OVERRIDES)) {
    const text = environment[name]
    if (text !== undefined && text !== '') setPath(changed, path, text)
  }
  return changed
}

function setPath (value: JsonMap, path: readonly string[], text: string): void {
  const [first, ...rest] = path as [string, ...string[]]
  if (rest.length === 0) {
    value[first] = text
    return
  }
  const inner = (typeof value[first] === 'object' && value[first] !== null ? value[first] : {}) as JsonMap
  value[first] = inner
  setPath(inner, rest, text)
}

function readPath (value: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>((inner, name) => (inner as Record<PropertyKey, unknown> | undefined)?.[name], value)
}
