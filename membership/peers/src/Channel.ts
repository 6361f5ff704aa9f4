/** A kind of message between peers. The type parameters keep sender and receiver in step. */
export interface Channel<Body, Answer = void> {
  readonly name: string
  /** Only for the compiler. */
  readonly body?: Body
  readonly answer?: Answer
}

/** Declares a channel; the package that uses it owns its type. */
export function defineChannel<Body, Answer = void> (name: string): Channel<Body, Answer> {
  return { name }
}
