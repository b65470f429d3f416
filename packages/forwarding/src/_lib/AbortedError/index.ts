/** The request was aborted by this instance. */
export class AbortedError extends Error {
  /** @param wasStarted - whether any byte of it may have been sent */
  constructor(readonly wasStarted: boolean) {
    super('the request was aborted');
  }
}
