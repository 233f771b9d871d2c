/** Paths of the placement requests between hosts. */
export const PLACEMENT_PATHS = {
  place: '/placements',
  notes: '/placement-notes',
  alive: '/alive',
} as const;
