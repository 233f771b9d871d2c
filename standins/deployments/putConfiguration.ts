import type { ConfigurationRecord } from '../../src/configuration/records/ConfigurationRecord.ts';
import { HttpKeyValueClient } from '../../src/platform/HttpKeyValueClient.ts';

const CONFIGURATION_KEY = 'configuration/head';

/**
 * Writes the first version of the configuration to the platform.
 *
 * @param platformUrl - the platform's address
 * @param configuration - the first version
 * @throws Error if the platform already has a configuration
 */
export async function putConfiguration(
  platformUrl: string,
  configuration: ConfigurationRecord,
): Promise<void> {
  const client = new HttpKeyValueClient({ url: platformUrl });
  const answer = await client.call('configuration', {
    kind: 'compareAndSwap',
    key: CONFIGURATION_KEY,
    expectedVersion: 0,
    value: JSON.stringify(configuration),
  });
  await client.close();
  if (answer.kind !== 'swapped') {
    throw new Error(`The first configuration was not written: ${answer.kind}`);
  }
}
