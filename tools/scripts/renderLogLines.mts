// Renders docs/log-lines.md from the types of the log lines.
import fs from 'node:fs'
import path from 'node:path'
import ts from 'typescript'

const ROOT = path.join(import.meta.dirname, '../..')

const LOG_LINES_HEADER = `# Lines of the log

One JSON line for each decision of an entry instance for routed requests, with \`time\`, \`name\` (the instance) and \`msg\` (the kind). Times are
milliseconds; a field with a question mark may be left out. This table is written by \`npm run docs\` from \`DecisionFacts\`, which the compiler holds
every line to, and checked by a test. \`lines-dropped\` (\`dropped\`) stands beside it: the reader was too slow, and so many lines are missing.

| Kind | Tells | When, and what it means |
|---|---|---|
`

/** Lists the field names of a log line's type; a type name is resolved to its interface. */
function listFields (type: ts.TypeNode, interfaces: ReadonlyMap<string, ts.InterfaceDeclaration>): string[] {
  if (ts.isIntersectionTypeNode(type)) return type.types.flatMap((part) => listFields(part, interfaces))
  if (ts.isTypeReferenceNode(type)) return listMembers(interfaces.get(type.typeName.getText())?.members ?? [])
  return ts.isTypeLiteralNode(type) ? listMembers(type.members) : []
}

function listMembers (members: Iterable<ts.TypeElement>): string[] {
  return [...members].filter(ts.isPropertySignature).map((member) => `\`${member.name.getText()}${member.questionToken ? '?' : ''}\``)
}

function readComment (member: ts.Node): string {
  return ts.getJSDocCommentsAndTags(member).map((doc) => ts.getTextOfJSDocComment(doc.comment) ?? '').join(' ')
}

/** Renders the page of log lines. */
export function renderLogLines (): string {
  const file = path.join(ROOT, 'timeline/decisions/src/DecisionFacts.ts')
  const source = ts.createSourceFile(file, fs.readFileSync(file, 'utf8'), ts.ScriptTarget.Latest, true)
  const interfaces = new Map(source.statements.filter(ts.isInterfaceDeclaration).map((it) => [it.name.text, it]))
  const members = [...interfaces.get('DecisionFacts')?.members ?? []].filter(ts.isPropertySignature)
  const rows = members.map((member) => {
    const fields = member.type ? listFields(member.type, interfaces) : []
    return `| \`${member.name.getText().replaceAll('\'', '')}\` | ${fields.join(', ')} | ${readComment(member)} |`
  })
  return `${LOG_LINES_HEADER}${rows.join('\n')}\n`
}
