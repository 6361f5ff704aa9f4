export { hashAccessKey } from './hashAccessKey.js'
export { hashParts } from './hashParts.js'
export { hashText, rankMembers, computeRank, findOwner } from './rendezvous.js'
