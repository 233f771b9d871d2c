/** Paths of the placement requests between hosts. */
export const PLACEMENT_PATHS = {
  place: '/placements',
  reports: '/placement-notes',
  alive: '/alive',
  leases: '/quota-leases',
} as const;
