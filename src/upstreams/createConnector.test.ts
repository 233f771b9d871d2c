import { rejects } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { getFreePort, TEST_IP } from '../../test/support/getFreePort.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';

describe('createConnector', () => {
  it('reports a refused connection as an error and does not end the process', async () => {
    const connections = new UpstreamConnections();
    const port = await getFreePort();
    await rejects(connections.get(`http://${TEST_IP}:${port}`).request({
      method: 'GET', path: '/',
    }), { code: 'ECONNREFUSED' });
    await connections.close();
  });
});
