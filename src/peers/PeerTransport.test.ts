import { deepEqual, equal, rejects } from 'node:assert/strict';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import type { PeerMessageReceivedInput, PeerUnreachableInput } from '../core/CoreInput.ts';
import { toId } from '../lib/ids.ts';
import { PeerKeyMissingError } from './PeerKeyMissingError.ts';
import { PeerTransport } from './PeerTransport.ts';

type Input = PeerMessageReceivedInput | PeerUnreachableInput;

const LOOPBACK = { host: '127.0.0.1', port: 0 };

async function createTransport(hostId: string, key: string | null, onInput: (i: Input) => void) {
  return PeerTransport.create({
    listen: LOOPBACK,
    self: {
      hostId: toId(hostId),
      incarnationId: toId(`${hostId}-1`),
      failureDomainId: toId('domain-a'),
      peerAddress: '',
    },
    key,
    onInput,
  });
}

async function sendBetween(keyA: string | null, keyB: string | null): Promise<Input> {
  let resolveInput: (input: Input) => void;
  const first = new Promise<Input>((resolve) => {
    resolveInput = resolve;
  });
  const a = await createTransport('a', keyA, (input) => resolveInput(input));
  const b = await createTransport('b', keyB, (input) => resolveInput(input));
  a.send(toId('b'), b.address, { kind: 'configurationAsk', knownVersion: 7 });
  const input = await first;
  await Promise.all([a.close(), b.close()]);
  return input;
}

describe('PeerTransport', () => {
  const received: Input = {
    kind: 'peerMessageReceived',
    fromHostId: toId('a'),
    fromIncarnationId: toId('a-1'),
    message: { kind: 'configurationAsk', knownVersion: 7 },
  };
  const unreachable: Input = { kind: 'peerUnreachable', hostId: toId('b') };
  const cases: [string, string | null, string | null, Input][] = [
    ['delivers between peers with the same key', 'k', 'k', received],
    ['delivers without a key on loopback', null, null, received],
    ['refuses a peer with another key', 'k', 'other', unreachable],
    ['refuses a peer without a key', null, 'k', unreachable],
    ['refuses a listener without a key', 'k', null, unreachable],
  ];
  cases.forEach(([name, keyA, keyB, expected]) => {
    it(name, async () => {
      deepEqual(await sendBetween(keyA, keyB), expected);
    });
  });

  it('refuses to listen beyond loopback without a key', async () => {
    await rejects(PeerTransport.create({
      listen: { host: '0.0.0.0', port: 0 },
      self: {
        hostId: toId('a'),
        incarnationId: toId('a-1'),
        failureDomainId: toId('domain-a'),
        peerAddress: '',
      },
      key: null,
      onInput: () => undefined,
    }), PeerKeyMissingError);
  });

  it('closes a connection whose bytes violate the protocol', async () => {
    const transport = await createTransport('a', 'k', () => undefined);
    const [host = '', port] = transport.address.split(':');
    const socket = connect({ host, port: Number(port) });
    socket.on('error', () => undefined);
    await new Promise((resolve) => {
      socket.once('close', resolve);
      socket.write('GET / HTTP/1.1\r\n\r\n');
    });
    equal(transport.counters.openConnections, 0);
    await transport.close();
  });
});
