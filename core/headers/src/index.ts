export { listEndToEnd } from './listEndToEnd.js'
