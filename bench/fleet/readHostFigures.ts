import { request } from 'undici';
import { FLEET_OPERATOR_KEY, type FleetHost } from '../../scripts/fleet/Fleet.ts';

const METRIC_LINE = /^parsleylift_(\w+) (\S+)$/gm;

/** Unlabelled metrics of one host by name, without the prefix `parsleylift_`. */
export type HostFigures = ReadonlyMap<string, number>;

/**
 * Reads the metrics of a host.
 *
 * @param host - an entry host
 * @returns its metrics without labels; empty when it does not answer
 */
export async function readHostFigures(host: FleetHost): Promise<HostFigures> {
  try {
    const response = await request(`${host.httpUrl}/metrics`, {
      headers: { authorization: `Bearer ${FLEET_OPERATOR_KEY}` },
    });
    const text = await response.body.text();
    return new Map([...text.matchAll(METRIC_LINE)].map(([, name, value]) => (
      [name ?? '', Number(value)])));
  } catch {
    return new Map();
  }
}
