import http from 'node:http'
import { PulleystackError, convertToError } from '@pulleystack/core.errors'
import { InstanceList, type ListedInstance } from '@pulleystack/backend.interfaces'
import { err, ok, type Result } from 'neverthrow'
import { exchange, parseJson } from './exchange.js'
import { Paths } from './wire.js'

const TIMEOUT_MS = 3_000

/** Client for the platform's instance list over HTTP. */
export class HttpInstanceList extends InstanceList {
  private readonly agent = new http.Agent({ keepAlive: true })

  constructor (private readonly opts: { address: string }) {
    super()
  }

  close (): void {
    this.agent.destroy()
  }

  async listInstances (): Promise<Result<ListedInstance[], PulleystackError>> {
    try {
      const answer = await exchange({ address: this.opts.address, method: 'GET', path: Paths.INSTANCES, agent: this.agent, timeoutMs: TIMEOUT_MS })
      if (answer.status !== 200) return err(new PulleystackError('STORE_UNAVAILABLE', `The instance list responded with status ${answer.status}`))
      return ok(parseJson<ListedInstance[]>(answer.body))
    } catch (thrown) {
      return err(new PulleystackError('STORE_UNAVAILABLE', convertToError(thrown).message, { cause: thrown }))
    }
  }
}
