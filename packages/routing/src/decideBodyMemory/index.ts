/** A response body that is being read. */
export interface BodyUsage {
  /** Bytes of it that are held. */
  readonly bytes: number;
  /** Whether other bytes of its upstream were no answer a short while ago. */
  readonly isSuspect: boolean;
}

/** Bounds of all response bodies that are being read. */
export interface BodyMemoryBounds {
  /** From this size on they are read in turn, in bytes. */
  readonly softBytes: number;
  /** Their size at most, in bytes. */
  readonly maxBytes: number;
  /** Size that a body may have while others wait for its end, in bytes. */
  readonly fairBytes: number;
  /** How long others may wait for its end, in milliseconds. */
  readonly maxWaitMs: number;
}

/** What happens to the bodies: all are read, one is ended, or one is read while the others wait. */
export type BodyMemoryDecision<Body extends BodyUsage> =
  | { readonly kind: 'readAll' }
  | { readonly kind: 'end'; readonly body: Body }
  | { readonly kind: 'readOne'; readonly body: Body };

/**
 * Decides which response bodies are read while all of them together exceed their bounds.
 *
 * Where memory is short, the largest is read and the others wait, so that sound bodies end one after the other and
 * none is given up. One gives way for the others if it continues beyond its fair size or time, or if its upstream is
 * suspect: the largest, not whichever is last.
 *
 * @param bodies - the bodies that are being read
 * @param bounds - their bounds
 * @param shortForMs - how long memory has been short without the end of any body, in milliseconds
 *
 * @example
 * decideBodyMemory([large, small], bounds, 0);
 * //=> { kind: 'readOne', body: large }
 */
export function decideBodyMemory<Body extends BodyUsage>(
  bodies: readonly Body[],
  { softBytes, maxBytes, fairBytes, maxWaitMs }: BodyMemoryBounds,
  shortForMs: number,
): BodyMemoryDecision<Body> {
  const totalBytes = bodies.reduce((sum, { bytes }) => sum + bytes, 0);
  const body = largestOf(bodies);
  if (body === undefined || totalBytes <= softBytes) return { kind: 'readAll' };
  const suspect = largestOf(bodies.filter(({ isSuspect }) => isSuspect));
  if (suspect !== undefined) return { kind: 'end', body: suspect };
  if (totalBytes > maxBytes) return { kind: 'end', body };
  const isAlone = body.bytes === totalBytes;
  const isUnfair = body.bytes > fairBytes || shortForMs >= maxWaitMs;
  return { kind: isUnfair && !isAlone ? 'end' : 'readOne', body };
}

function largestOf<Body extends BodyUsage>(bodies: readonly Body[]): Body | undefined {
  let largest: Body | undefined;
  for (const body of bodies) if (body.bytes > (largest?.bytes ?? 0)) largest = body;
  return largest;
}
