export { hashAccessKey } from './hashAccessKey.js'
export { hashText, listRanked, computeRank, findOwner } from './rendezvous.js'
