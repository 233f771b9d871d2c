import { BlockList, isIPv6 } from 'node:net';

const loopback = new BlockList();
loopback.addSubnet('127.0.0.0', 8, 'ipv4');
loopback.addAddress('::1', 'ipv6');

/**
 * @param ip - an IP number
 * @returns whether only processes of this machine can reach it
 */
export function isLoopbackAddress(ip: string): boolean {
  return loopback.check(ip, isIPv6(ip) ? 'ipv6' : 'ipv4');
}
