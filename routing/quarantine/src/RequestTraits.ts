/** What a request consists of, as far as it may make servers crash. Requests that share a trait have the same string for it. */
export interface RequestTraits {
  /** The whole request: the same for its repetitions, different for any other request. */
  identity: string
  /** What it shares with other requests, such as parts of its prompt. */
  shared: readonly string[]
}

export function listAllTraits ({ identity, shared }: RequestTraits): string[] {
  return [identity, ...shared]
}
