/** A kind of message between peers. The type parameters keep sender and receiver in step. */
export interface Channel<Body, Answer = void> {
  readonly name: string
  /** Its messages aren't repeated and no later one makes up for a lost one, so that they are sent whatever waits on the link. */
  readonly isOnce?: boolean
  /** Only for the compiler. */
  readonly body?: Body
  readonly answer?: Answer
}

/** Declares a channel; the package that uses it owns its type. */
export function defineChannel<Body, Answer = void> (name: string, { isOnce = false } = {}): Channel<Body, Answer> {
  return { name, isOnce }
}
