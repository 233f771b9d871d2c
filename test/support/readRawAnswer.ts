import { connect } from 'node:net';
import type { RelayTestBed } from './RelayTestBed.ts';

/** Answer as its bytes arrived. */
export interface RawAnswer {
  readonly text: string;
  /** Whether the connection ended by a reset instead of a close. */
  readonly isReset: boolean;
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
  return new Promise((resolve) => {
    const socket = connect(Number(port), hostname);
    let text = '';
    let isReset = false;
    socket.on('data', (chunk) => {
      text += chunk.toString();
    });
    socket.on('error', () => {
      isReset = true;
    });
    socket.on('close', () => resolve({ text, isReset }));
    socket.write(`POST ${path} HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: r1\r\n`
      + 'Authorization: Bearer key\r\nContent-Length: 0\r\nConnection: close\r\n\r\n');
  });
}
