import { rejects } from 'node:assert/strict';
import { describe, it } from 'node:test';
import { getFreePort } from '../../test/support/getFreePort.ts';
import { UpstreamConnections } from './UpstreamConnections.ts';

describe('createConnector', () => {
  it('reports a refused connection as an error and does not end the process', async () => {
    const connections = new UpstreamConnections();
    const port = await getFreePort();
    await rejects(connections.get(`http://127.0.0.1:${port}`).request({
      method: 'GET', path: '/',
    }), { code: 'ECONNREFUSED' });
    await connections.close();
  });
});
