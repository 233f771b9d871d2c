import { connect } from 'node:net';
import type { CallerAddress } from './StreamTaker.ts';
import type { RelayTestBed } from './RelayTestBed.ts';

/** Answer as its bytes arrived. */
export interface RawAnswer {
  /** Head and body, one character for each byte. */
  readonly text: string;
  /** Whether the connection ended by a reset instead of a close. */
  readonly isReset: boolean;
}

/** How a caller of {@link sendRaw} reads. */
export interface RawReader {
  /** Called when the first bytes of the answer have arrived. */
  readonly onFirstBytes?: () => void;
  /** Time for which the caller then reads nothing. */
  readonly pauseMs?: number;
}

/**
 * Sends bytes on a new connection and reads until the connection ends.
 *
 * @param address - address of the host
 * @param requestText - the request as it is sent
 * @param reader - how the caller reads
 * @returns the answer, once its connection has ended
 */
export function sendRaw(
  address: CallerAddress,
  requestText: string,
  { onFirstBytes = () => {}, pauseMs = 0 }: RawReader = {},
): Promise<RawAnswer> {
  return new Promise((resolve) => {
    const socket = connect(address.port, address.host);
    const chunks: Buffer[] = [];
    let isReset = false;
    socket.on('data', (chunk) => {
      chunks.push(chunk);
      if (chunks.length === 1) {
        onFirstBytes();
        socket.pause();
        setTimeout(() => socket.resume(), pauseMs);
      }
    });
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('close', () => resolve({
      text: Buffer.concat(chunks).toString('latin1'), isReset,
    }));
    socket.write(requestText);
  });
}

/**
 * Sends a request without a body and reads all bytes of its answer.
 *
 * @param bed - the test bed
 * @param path - path of the request
 * @returns the answer, once its connection has ended
 */
export function readRawAnswer(bed: RelayTestBed, path: string): Promise<RawAnswer> {
  const { hostname, port } = new URL(bed.url);
  return sendRaw(
    { host: hostname, port: Number(port) },
    `POST ${path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n`
      + 'Authorization: Bearer key\r\nContent-Length: 0\r\nConnection: close\r\n\r\n',
  );
}
