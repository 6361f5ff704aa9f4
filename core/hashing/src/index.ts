export { hashText, listRanked, computeRank, findOwner } from './rendezvous.js'
