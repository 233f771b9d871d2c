import { equal } from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import { pino } from 'pino';
import { createHostChange } from '../../test/support/createHostChange.ts';
import { Directory } from '../directory/Directory.ts';
import { toId, type HostId } from '../lib/ids.ts';
import { SystemClock } from '../time/SystemClock.ts';
import { UpstreamConnections } from '../upstreams/UpstreamConnections.ts';
import type { ForwardingPeer } from './ForwardingPeers.ts';
import { PeerLiveness } from './PeerLiveness.ts';

const HOST_ID = toId<HostId>('peer');
const CHECK_EVERY_MS = 20;

let server: Server | null = null;
let liveness: PeerLiveness | null = null;
const connections = new UpstreamConnections();

async function waitUntil(isReached: () => boolean): Promise<void> {
  while (!isReached()) {
    // eslint-disable-next-line no-await-in-loop -- polls
    await sleep(CHECK_EVERY_MS);
  }
}

describe('PeerLiveness', () => {
  afterEach(async () => {
    liveness?.close();
    server?.close();
    server?.closeAllConnections();
    await connections.close();
  });

  it('gives requests at a silent host up, and passes it over until it answers again', async () => {
    let isSilent = true;
    const host = createServer((_request, response) => {
      if (!isSilent) {
        response.end();
      }
    });
    server = host;
    await new Promise<void>((resolve) => {
      host.listen(0, '127.0.0.1', resolve);
    });
    const address = `127.0.0.1:${(host.address() as AddressInfo).port}`;
    const directory = new Directory(new SystemClock());
    directory.apply(createHostChange(HOST_ID, { peerAddress: address }));
    const tested = new PeerLiveness({ directory, connections, logger: pino({ level: 'silent' }) });
    liveness = tested;
    const peer: ForwardingPeer = {
      hostId: HOST_ID, address, peerAddress: address, comparesConfigurations: true,
    };
    equal(tested.isSilent(HOST_ID), false);
    let endWatch: () => void = () => {};
    await new Promise<void>((resolve) => {
      endWatch = tested.watch(peer, resolve);
    });
    endWatch();
    equal(tested.isSilent(HOST_ID), true);
    isSilent = false;
    await waitUntil(() => !tested.isSilent(HOST_ID));
  });
});
