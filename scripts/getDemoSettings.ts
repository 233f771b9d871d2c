import type { HostSettings } from '../src/settings/HostSettings.ts';

/**
 * Creates the settings of the demonstration's entry host.
 *
 * @param platformUrl - address of the embedded platform stand-in
 * @returns the settings
 */
export function getDemoSettings(platformUrl: string): HostSettings {
  return {
    hostId: 'entry-a1',
    failureDomainId: 'midlands-a',
    http: { host: '127.0.0.1', port: 0 },
    peers: { host: '127.0.0.1', port: 0 },
    platformUrl,
    operatorKey: { env: 'PARSLEYLIFT_OPERATOR_KEY' },
    logLevel: 'warn',
  };
}
