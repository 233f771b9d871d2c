import { BlockList, isIPv6 } from 'node:net';

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/**
 * Checks whether an IP address is a loopback address, which only local processes can reach.
 *
 * @param ip - an IP address
 * @returns whether it is a loopback address
 */
export function isLoopbackAddress(ip: string): boolean {
  return loopback.check(ip, isIPv6(ip) ? 'ipv6' : 'ipv4');
}
