import { PulleystackError } from '@pulleystack/core.errors'
import { err, ok, type Result } from 'neverthrow'
import type * as z from 'zod'
import { objectSchema, specSchemas, type ConfigObject } from './schemas.js'

/** Validates a value against the schema of its kind; the error names the field. */
export function parseConfigObject (value: unknown): Result<ConfigObject, PulleystackError> {
  const outer = objectSchema.safeParse(value)
  if (!outer.success) return err(createSchemaError(outer.error, ''))
  const spec = specSchemas[outer.data.kind].safeParse(outer.data.spec)
  if (!spec.success) return err(createSchemaError(spec.error, 'spec.'))
  return ok({ ...outer.data, spec: spec.data } as ConfigObject)
}

function createSchemaError (error: z.ZodError, prefix: string): PulleystackError {
  const issue = error.issues[0]
  const path = issue?.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0]] : issue?.path ?? []
  const field = `${prefix}${path.join('.')}`.replace(/\.$/, '')
  return new PulleystackError('OBJECT_INVALID', `Field "${field}" of the object is invalid: ${issue?.message ?? 'unknown'}`, {
    field,
    hint: 'docs/objects.md lists the fields of each kind.',
  })
}
