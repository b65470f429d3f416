/**
 * Returns the value of a key, which is created and stored if the map has none.
 *
 * @example
 * getOrCreate(queues, service, () => []).push(item);
 */
export function getOrCreate<Key, Value>(
  map: Map<Key, Value>,
  key: Key,
  create: () => Value,
): Value {
  const existing = map.get(key);
  if (existing !== undefined) return existing;
  const created = create();
  map.set(key, created);
  return created;
}
