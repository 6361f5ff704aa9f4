import { findOwner } from '@pulleystack/core.hashing'
import type { ObjectStore } from '@pulleystack/backend.interfaces'

/** How many shards each region's accelerators form. Kept in the object API, so that all instances use one number. */
export interface ShardMap {
  shardsPerRegion: number
}

const KEY = 'placement/map'

/** Reads the map; the first instance of all writes it. Undefined while the object API does not answer. */
export async function readShardMap (store: ObjectStore, shardsPerRegion: number): Promise<ShardMap | undefined> {
  const read = await store.readObject(KEY)
  if (read.isErr()) return undefined
  if (read.value) return read.value.value as ShardMap
  await store.writeObject(KEY, { shardsPerRegion }, 0)
  const again = await store.readObject(KEY)
  return again.isOk() ? again.value?.value as ShardMap | undefined : undefined
}

export function listShards (map: ShardMap, regions: Iterable<string>): string[] {
  return [...new Set(regions)].flatMap((region) => Array.from({ length: map.shardsPerRegion }, (_, i) => `${region}-${i}`))
}

/** The one shard whose holder may order an accelerator; does not depend on which others there are. */
export function chooseShard (map: ShardMap, region: string, server: string): string {
  return findOwner(`shard-of/${server}`, listShards(map, [region])) as string
}
