/**
 * Erlang's C formula: the probability that an arrival at an M/M/c queue has to wait. Computed from
 * the recursion of Erlang's B, which does not overflow.
 *
 * @param serverCount - servers, at least 1
 * @param erlangs - offered load, below the number of servers
 * @returns a fraction
 */
export function getErlangC(serverCount: number, erlangs: number): number {
  let blocking = 1;
  for (let server = 1; server <= serverCount; server += 1) {
    blocking = (erlangs * blocking) / (server + erlangs * blocking);
  }
  const utilization = erlangs / serverCount;
  return blocking / (1 - utilization * (1 - blocking));
}
