import type { Metafile } from 'esbuild'

/** Bundles an entry point and its imports into one CommonJS file. */
export declare function writeBundle (opts: { entryPoint: string, outfile: string, define?: Record<string, string> }): Promise<Metafile>

export function writePlatformBundles (folder: string): Promise<string>
