export { chooseSubset, computeSubsetSize } from './chooseSubset.js'
export type { SubsetMember } from './chooseSubset.js'
export { buildDirectoryAnswer } from './buildDirectoryAnswer.js'
export type { DirectoryAnswer, DirectoryAddress } from './buildDirectoryAnswer.js'
