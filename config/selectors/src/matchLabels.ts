export type Labels = Readonly<Record<string, string>>

/** Maps each label to the values allowed for it; an empty list requires that the label is absent. */
export type Selector = Readonly<Record<string, string | readonly string[]>>

/** Whether the labels satisfy every term of the selector; an empty selector matches everything. */
export function matchLabels (selector: Selector | undefined, labels: Labels): boolean {
  if (!selector) return true
  return Object.entries(selector).every(([name, allowed]) => matchTerm(allowed, labels[name]))
}

function matchTerm (allowed: string | readonly string[], value: string | undefined): boolean {
  if (typeof allowed === 'string') return value === allowed
  if (allowed.length === 0) return value === undefined
  return value !== undefined && allowed.includes(value)
}
