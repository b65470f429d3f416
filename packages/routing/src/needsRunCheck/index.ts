/** What is known about an upstream when a stream is about to be sent to it. */
export interface RunEvidence {
  /** Whether the request continues with a stream that has begun. */
  readonly isResumption: boolean;
  /** Whether the connection to be used is open already. */
  readonly isConnected: boolean;
  /** Whether a connection to the upstream ended, and nothing has shown since which run is there. */
  readonly isDoubted: boolean;
  /** Whether upstreams of its service run several versions of their software. */
  readonly isMixed: boolean;
}

/**
 * Whether an upstream is to be asked which run it is before a stream is sent to it.
 *
 * An upstream may start again under its id, with other software, before its record says so. A connection that stayed
 * open leads to the run that it was opened to. Over a new one only the upstream itself can tell.
 *
 * @example
 * needsRunCheck({ isResumption: false, isConnected: true, isDoubted: true, isMixed: true });
 * //=> false
 */
export function needsRunCheck(evidence: RunEvidence): boolean {
  const { isResumption, isConnected, isDoubted, isMixed } = evidence;
  return !isConnected && (isResumption || isDoubted || isMixed);
}
