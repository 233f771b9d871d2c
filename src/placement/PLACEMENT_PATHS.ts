/** Paths of the calls between entry hosts about placements. */
export const PLACEMENT_PATHS = {
  place: '/placements',
  reports: '/placement-notes',
  alive: '/alive',
} as const;
