export { PathChecker } from './PathChecker.js'
export { ServerPaths } from './ServerPaths.js'
export type { ServerPathsOptions } from './ServerPaths.js'
