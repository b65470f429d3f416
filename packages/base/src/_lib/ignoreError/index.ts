/** A write that races with the close of its connection fails; the close ends the request. */
export function ignoreError(): void {
  return undefined;
}
