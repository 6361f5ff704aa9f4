import { findOwner } from '@pulleystack/core.hashing'
import type { ObjectStore } from '@pulleystack/backend.interfaces'

/** Number of shards in each region, stored in the object store so that all instances agree on it. */
export interface ShardMap {
  shardsPerRegion: number
}

const KEY = 'placement/map'

/** Reads the shard map, and writes it if there is none. Undefined while the object store does not answer. */
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

/** Returns the shard whose holder controls an accelerator; independent of which other accelerators exist. */
export function chooseShard (map: ShardMap, region: string, server: string): string {
  return findOwner(`shard-of/${server}`, listShards(map, [region])) as string
}
