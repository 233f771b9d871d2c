/** Paths of the calls between entry hosts about placements. */
export const PLACEMENT_PATHS = {
  place: '/placements',
  notes: '/placement-notes',
  alive: '/alive',
} as const;
