/** Splits chunks of text into lines, which may extend over several chunks. */
export async function* splitLines (chunks: AsyncIterable<string>): AsyncGenerator<string> {
  let rest = ''
  for await (const chunk of chunks) {
    const lines = `${rest}${chunk}`.split('\n')
    rest = lines.pop() ?? ''
    yield* lines
  }
  if (rest !== '') yield rest
}
