import { isHeterogeneous } from '@pulleystack/config.routes'
import type { Policy } from '@pulleystack/config.settings'
import type { RoutedWork } from './RoutedWork.js'

/**
 * Whether room for the request is reserved with the owner of the server's ledger. A stream that was interrupted resumes wherever it can, since its client
 * already waits for the next event, except at servers that fall over when they have to reject requests.
 */
export function mustReserve ({ service, generation, stream }: RoutedWork, policy: Policy, isBrittle: boolean): boolean {
  if (isBrittle) return true
  return policy.reservations && generation !== undefined && stream.events === 0 && isHeterogeneous(service.serving)
}
