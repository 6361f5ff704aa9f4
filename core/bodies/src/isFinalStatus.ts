/** Whether a response may have this status; any other is invalid and says nothing of the request (RFC 9110, 15). */
export function isFinalStatus (status: number): boolean {
  return status >= 200 && status <= 599
}
