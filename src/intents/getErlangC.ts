/**
 * Computes the Erlang C formula: the probability that an arrival at an M/M/c queue has to wait. It
 * uses the recursion of the Erlang B formula, which does not overflow.
 *
 * @param serverCount - number of servers, at least 1
 * @param erlangs - offered load, less than the number of servers
 * @returns the probability
 */
export function getErlangC(serverCount: number, erlangs: number): number {
  let blocking = 1;
  for (let server = 1; server <= serverCount; server += 1) {
    blocking = (erlangs * blocking) / (server + erlangs * blocking);
  }
  const utilization = erlangs / serverCount;
  return blocking / (1 - utilization * (1 - blocking));
}
