export { hashAccessKey } from './hashAccessKey.js'
export { hashParts } from './hashParts.js'
export { hashText, listRanked, computeRank, findOwner } from './rendezvous.js'
