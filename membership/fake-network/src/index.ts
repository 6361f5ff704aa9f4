export { FakeHub, FakeNetwork } from './FakeNetwork.js'
