import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';

const POLL_INTERVAL_MS = 20;

/**
 * Waits until an entry host reports that a load balancer may send it requests.
 *
 * @param httpUrl - base address of the host
 */
export async function waitUntilReady(httpUrl: string): Promise<void> {
  const response = await request(`${httpUrl}/readyz`);
  await response.body.dump();
  if (response.statusCode !== 200) {
    await sleep(POLL_INTERVAL_MS);
    await waitUntilReady(httpUrl);
  }
}
