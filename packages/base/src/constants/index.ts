/**
 * Constants for converting units.
 */

/** Milliseconds in one second. */
export const millisecondsInSecond = 1_000;
/** Milliseconds in one minute. */
export const millisecondsInMinute = 60_000;
/** Milliseconds in one hour. */
export const millisecondsInHour = 3_600_000;
/** Milliseconds in one day. */
export const millisecondsInDay = 86_400_000;
/** Bytes in one kibibyte. */
export const bytesInKibibyte = 1_024;
/** Bytes in one mebibyte. */
export const bytesInMebibyte = 1_048_576;
