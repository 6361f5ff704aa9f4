import type { CommandModule } from '../Command.js'
import * as apply from './apply.js'
import * as certificates from './certificates.js'
import * as createKey from './createKey.js'
import * as demo from './demo.js'
import * as describe from './describe.js'
import * as explain from './explain.js'
import * as explainOrders from './explainOrders.js'
import * as explainRequest from './explainRequest.js'
import * as get from './get.js'
import * as label from './label.js'
import * as remove from './remove.js'
import * as serve from './serve.js'
import * as settings from './settings.js'
import * as standIns from './standIns.js'
import * as status from './status.js'
import * as summarizeLoad from './summarizeLoad.js'
import * as timeline from './timeline.js'

/** All commands, in the order of the help text. */
export const commands: readonly CommandModule[] = [
  serve,
  apply,
  get,
  describe,
  label,
  remove,
  status,
  explain,
  explainRequest,
  explainOrders,
  summarizeLoad,
  timeline,
  settings,
  createKey,
  certificates,
  demo,
  standIns,
]
