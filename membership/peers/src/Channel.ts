/** A typed message channel between peers. */
export interface Channel<Body, Answer = void> {
  readonly name: string
  /** Whether no later message supersedes a lost one. Such messages are sent even if the link has a backlog. */
  readonly isOneShot?: boolean
  /** Exists only at compile time. */
  readonly body?: Body
  readonly answer?: Answer
}

/** Defines a channel by its name on the wire. */
export function defineChannel<Body, Answer = void> (name: string, { isOneShot = false } = {}): Channel<Body, Answer> {
  return { name, isOneShot }
}
