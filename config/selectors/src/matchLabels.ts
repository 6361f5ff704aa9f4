export type Labels = Readonly<Record<string, string>>

/** Each label named must have one of the values; a list may be empty, then the label must be absent. */
export type Selector = Readonly<Record<string, string | readonly string[]>>

/** True when the labels satisfy every term of the selector; an empty selector takes everything. */
export function matchLabels (selector: Selector | undefined, labels: Labels): boolean {
  if (!selector) return true
  return Object.entries(selector).every(([name, wanted]) => matchTerm(wanted, labels[name]))
}

function matchTerm (wanted: string | readonly string[], value: string | undefined): boolean {
  if (typeof wanted === 'string') return value === wanted
  if (wanted.length === 0) return value === undefined
  return value !== undefined && wanted.includes(value)
}
