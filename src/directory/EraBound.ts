/**
 * A revision of the store together with the store's era, as one number.
 *
 * A store that comes back from an older copy gives out again the revisions that it has lost, in a
 * new era. The era is in the upper bits: values of different eras are never equal,
 * and any value of a later era is greater. An era of 0 leaves the value as it is.
 */
export type EraBound = number;

/** Values per era. The safe integers hold 2^17 eras of that size. */
const VALUES_PER_ERA = 2 ** 36;

/**
 * @param era - the store's era; 0 when the store names none
 * @param value - a revision of that era
 * @returns both as one value
 * @throws RangeError if one of them is out of range
 */
export function bindToEra(era: number, value: number): EraBound {
  const bound = era * VALUES_PER_ERA + value;
  if (!(value >= 0 && value < VALUES_PER_ERA) || !Number.isSafeInteger(bound) || bound < 0) {
    throw new RangeError(`The value ${value} of the store's era ${era} is out of range.`);
  }
  return bound;
}

/**
 * @param bound - a value that is bound to an era
 * @returns the era
 */
export function getEra(bound: EraBound): number {
  return Math.floor(bound / VALUES_PER_ERA);
}

/**
 * @param bound - a value that is bound to an era
 * @returns the revision as the store knows it
 */
export function getUnbound(bound: EraBound): number {
  return bound % VALUES_PER_ERA;
}
