// Reporter for Node's test runner: writes one line per failed test, with the names of its suites and the test joined by ' > '.
const SEPARATOR = ' > '

export default async function* reportFailed (source) {
  const names = new Map()
  for await (const { type, data } of source) {
    if (type === 'test:start') {
      const stack = names.get(data.file) ?? []
      names.set(data.file, [...stack.slice(0, data.nesting), data.name])
    }
    if (type !== 'test:fail' || data.details?.type === 'suite') continue
    const suites = (names.get(data.file) ?? []).slice(0, data.nesting)
    yield `${[...suites, data.name].join(SEPARATOR)}\n`
  }
}
