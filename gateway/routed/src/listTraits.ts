import { hashParts } from '@pulleystack/core.hashing'
import { nameWeights } from '@pulleystack/routing.fleet'
import type { RequestTraits } from '@pulleystack/routing.quarantine'
import { hashRequest } from './hashRequest.js'
import type { RoutedWork } from './RoutedWork.js'

/** Prompt parts that are told apart; all further ones of a request count as one trait of its caller. */
const MAX_PARTS = 32
const MAX_NAME_LENGTH = 40

const TraitKinds = {
  TARGET: 'target',
  WEIGHTS: 'weights',
  PART: 'part',
  FURTHER_PARTS: 'further-parts',
} as const

type TraitSource = Pick<RoutedWork, 'host' | 'method' | 'path' | 'team' | 'facts' | 'body' | 'service' | 'generation'>

/** Lists what a request shares with others, any of which may crash servers: its target, its weights and the parts of its prompt. */
export function listTraits (work: TraitSource): RequestTraits {
  const { generation } = work
  const target = formatTrait(TraitKinds.TARGET, hashParts([work.host, work.path.split('?', 1)[0] as string], undefined))
  const shared = generation ? [target, formatTrait(TraitKinds.WEIGHTS, `${work.service.name}/${nameWeights(generation.model, generation.adapter)}`), ...listPartTraits(work)] : [target]
  return { identity: hashRequest(work), shared: [...new Set(shared)] }
}

function listPartTraits ({ generation, team, facts }: TraitSource): string[] {
  const parts = generation?.parts ?? []
  const traits = parts.slice(0, MAX_PARTS).map(({ id }) => formatTrait(TraitKinds.PART, id))
  if (parts.length > MAX_PARTS) traits.push(formatTrait(TraitKinds.FURTHER_PARTS, hashParts([team?.name ?? facts.accessKey ?? ''], undefined)))
  return traits
}

/** Long names are hashed, since traits are sent to other instances. */
function formatTrait (kind: string, name: string): string {
  return name.length <= MAX_NAME_LENGTH ? `${kind}/${name}` : `${kind}/${hashParts([name], undefined)}`
}
