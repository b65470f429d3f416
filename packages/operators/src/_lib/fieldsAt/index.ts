import * as z from 'zod';

/**
 * Lists the fields that a schema allows at a path of a document.
 *
 * @param schema - the document's schema
 * @param path - the path
 * @param value - the document, which selects between the options of a union
 * @returns the names of the fields; empty if the value at the path is not a map
 */
export function fieldsAt(
  schema: z.core.$ZodType,
  path: readonly PropertyKey[],
  value: unknown,
): string[] {
  const unwrapped = unwrap(schema, value);
  if (unwrapped instanceof z.ZodObject) {
    const [step, ...rest] = path;
    if (step === undefined) return Object.keys(unwrapped.shape);
    const field = unwrapped.shape[String(step)] as z.core.$ZodType | undefined;
    return field === undefined ? [] : fieldsAt(field, rest, valueAt(value, step));
  }
  if (unwrapped instanceof z.ZodArray && path[0] !== undefined) {
    return fieldsAt(unwrapped.element, path.slice(1), valueAt(value, path[0]));
  }
  return [];
}

function unwrap(schema: z.core.$ZodType, value: unknown): z.core.$ZodType {
  if (schema instanceof z.ZodDefault || schema instanceof z.ZodOptional) {
    return unwrap(schema.unwrap(), value);
  }
  if (!(schema instanceof z.ZodDiscriminatedUnion)) return schema;
  const { discriminator } = schema.def;
  const matchingOption = schema.options.find((option) => {
    const field = (option as z.ZodObject).shape[discriminator];
    return field !== undefined && z.safeParse(field, valueAt(value, discriminator)).success;
  });
  return matchingOption ?? schema;
}

function valueAt(value: unknown, step: PropertyKey): unknown {
  if (typeof value !== 'object' || value === null) return undefined;
  return (value as Record<PropertyKey, unknown>)[step];
}
