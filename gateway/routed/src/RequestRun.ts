import type { Takeover } from './SilenceWatch.js'
import type { ClientResponse } from './ClientResponse.js'
import type { RoutedWork } from './RoutedWork.js'
import type { RunOptions } from './runRequest.js'
import type { RunProgress } from './RunProgress.js'
import type { SentAttempt } from './serverAttempt.js'

/** One request while its attempts are made. */
export interface RequestRun {
  opts: RunOptions
  work: RoutedWork
  client: ClientResponse
  progress: RunProgress
  /** Begins an attempt beside one whose server is silent; undefined if none may begin now. */
  beginTakeover: (run: RequestRun, silent: SentAttempt) => Takeover | undefined
}
