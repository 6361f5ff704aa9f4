import type { ExchangeResponse } from '@pulleystack/routing.forward'

/** Holds back one response, so that no two servers' responses to one request are passed on. */
export class ResponseHold {
  private response: Pick<ExchangeResponse, 'pause' | 'resume'> | undefined
  private isPaused = false
  private released: Promise<void> = Promise.resolve()
  private resolveReleased = (): void => undefined

  /** Resolves once the response may be passed on. Has to be called when its head has arrived. */
  open (response: Pick<ExchangeResponse, 'pause' | 'resume'>): Promise<void> {
    this.response = response
    return this.released
  }

  /** Stops reading the response until `release`. */
  begin (): void {
    this.isPaused = this.response !== undefined
    this.response?.pause()
    this.released = new Promise((resolve) => {
      this.resolveReleased = resolve
    })
  }

  release (): void {
    this.resolveReleased()
    // A response that arrived meanwhile is not read yet, and would lose its data.
    if (this.isPaused) this.response?.resume()
    this.isPaused = false
  }
}
