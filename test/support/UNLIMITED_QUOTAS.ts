/** Quotas for tests without cold start limits. */
export const UNLIMITED_QUOTAS = {
  isOpenTo: () => true, take: () => null, setOpen: () => {},
} as const;
