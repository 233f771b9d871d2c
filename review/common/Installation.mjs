import { setTimeout as sleep } from 'node:timers/promises';
import { Host } from './Host.mjs';
import { Store } from './Store.mjs';

/** The key that the clients of all cases use, and its tenant. */
export const KEY = '9dnn2ctnfzs989anu6ws';
export const TENANT = 'bozi300';
export const HOST_NAME = 'pule25.example';
const SETTLE_MS = 1_500;

/** The limits for callers of the sites' manifests. */
export const LIMITS = {
  max_header_bytes: 16_384,
  max_body_bytes: 4_194_304,
  header_timeout_ms: 3000,
  idle_timeout_ms: 15_000,
};

/**
 * Starts a store with a manifest, engines, and one entry host in each zone that is named.
 *
 * @param options - `manifest`, `engines`, `zones`, `folder`, `onClose`
 * @returns the store, its address for each host, and the hosts
 */
export async function startInstallation({
  manifest, engines, zones, folder, onClose,
}) {
  const store = new Store();
  onClose(() => store.close());
  engines.forEach((engine) => onClose(() => engine.close()));
  await Promise.all(engines.map((engine) => engine.listen(store)));
  store.put('op/config', {
    limits: LIMITS, tenants: [{ name: TENANT, api_keys: [KEY] }], ...manifest,
  });
  const doors = await Promise.all(zones.map(() => store.openDoor()));
  const hosts = zones.map((zone, index) => new Host({
    name: `front-${zone}-${index + 1}`, zone, storeAddress: doors[index].address, folder,
  }));
  hosts.forEach((host) => onClose(() => host.stop()));
  await Promise.all(hosts.map((host) => host.start()));
  await sleep(SETTLE_MS);
  return { store, doors, hosts };
}
