export { benches } from './benches.js'
