/** What a request names. */
export interface RequestTarget {
  /** Begins with a slash, except for the asterisk form. */
  readonly path: string;
  /** Begins with a question mark, or is empty. */
  readonly query: string;
}

const absoluteForm = /^[a-z][a-z0-9+.-]*:\/\/[^/?#]*/i;

/**
 * Splits the target of a request line into path and query. Unlike the constructor of `URL` it takes any text: callers
 * send what they like.
 *
 * @param target - as received, in origin, absolute or asterisk form
 *
 * @example
 * parseTarget('http://host/a?b=1');
 * //=> { path: '/a', query: '?b=1' }
 */
export function parseTarget(target = '/'): RequestTarget {
  const relative = target.replace(absoluteForm, '').replace(/#.*$/s, '');
  const at = relative.indexOf('?');
  const path = at < 0 ? relative : relative.slice(0, at);
  return { path: path === '' ? '/' : path, query: at < 0 ? '' : relative.slice(at) };
}
