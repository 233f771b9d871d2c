import { randomUUID } from 'node:crypto';
import { SOAK_HOST_NAME, SOAK_KEY } from '../../scripts/soak/createSoakManifest.ts';
import { REQUEST_KIND, type RequestKind } from '../../scripts/soak/SoakRecord.ts';
import type { CrowdSend } from './CrowdClient.ts';
import { LARGE_ANSWER_PATH } from './CrowdUpstream.ts';

/** A kind of clients that are not under control. */
export interface Crowd {
  readonly name: string;
  readonly clientCount: number;
  /** @returns what one client sends */
  readonly createSend: () => CrowdSend;
}

const KIB = 1_024;
const MIB = 1_024 * KIB;
/** The largest body that a host takes. */
const MAX_BODY_BYTES = 4 * MIB;
const LARGE_PIECE_BYTES = 64 * KIB;
const SMALL_PIECE_BYTES = KIB;
const ENDLESS_BODY_BYTES = 64 * MIB;
const ANNOUNCED_BODY_BYTES = 160 * MIB;
const ONE_BYTE_CHUNKS_PER_PIECE = 4_096;
const ONE_BYTE_CHUNK_PIECES = 16;
const LONG_HEADER_BYTES = 15 * KIB;
const PIPELINED_REQUESTS = 40;
const DEADLINE_MS = 60_000;

const CLIENT_COUNT = 40;
/** More than the sockets that the settings of the tests allow. */
const HEAD_CLIENT_COUNT = 300;

/** A number of pieces that a host can hold a few times, or once, or not at all. */
const PIECE_COUNTS = [50_000, 999_999, 5_000_000, 999_999_999_999_999] as const;
let pieceCountIndex = 0;

/** Returns the piece counts in turn. */
function takePieceCount(): number {
  pieceCountIndex += 1;
  return PIECE_COUNTS[pieceCountIndex % PIECE_COUNTS.length] ?? 0;
}

const LARGE_PIECE = Buffer.alloc(LARGE_PIECE_BYTES, 'x');
const SMALL_PIECE = LARGE_PIECE.subarray(0, SMALL_PIECE_BYTES);
const LARGE_CHUNK = Buffer.concat([
  Buffer.from(`${LARGE_PIECE_BYTES.toString(16)}\r\n`), LARGE_PIECE, Buffer.from('\r\n'),
]);
const ONE_BYTE_CHUNKS = Buffer.from('1\r\nx\r\n'.repeat(ONE_BYTE_CHUNKS_PER_PIECE));
const NO_PIECE = Buffer.alloc(0);

function createHead(
  path: string,
  lines: readonly string[],
  kind: RequestKind = REQUEST_KIND.repeatable,
): string {
  return [
    `POST /${kind}/${path} HTTP/1.1`,
    `Host: ${SOAK_HOST_NAME}`,
    `Authorization: Bearer ${SOAK_KEY}`,
    `X-Request-Id: ${randomUUID()}`,
    `X-Deadline-Ms: ${DEADLINE_MS}`,
    ...lines,
    '',
    '',
  ].join('\r\n');
}

function createBody(line: string, piece: Buffer, pieceCount: number): CrowdSend {
  return {
    head: createHead('x', [line]), piece, pieceCount, isReading: true,
  };
}

const CHUNKED = 'Transfer-Encoding: chunked';
const LEGAL_LENGTH = `Content-Length: ${MAX_BODY_BYTES}`;

/** The kinds of clients, each with its number of clients in the tests. */
export const CROWDS: readonly Crowd[] = [
  {
    name: 'bodies in large chunks that stop just short',
    clientCount: CLIENT_COUNT,
    createSend: () => createBody(CHUNKED, LARGE_CHUNK, MAX_BODY_BYTES / LARGE_PIECE_BYTES - 1),
  },
  {
    name: 'bodies in chunks of one byte that stop short',
    clientCount: CLIENT_COUNT,
    createSend: () => createBody(CHUNKED, ONE_BYTE_CHUNKS, ONE_BYTE_CHUNK_PIECES),
  },
  {
    name: 'chunked bodies far over the limit',
    clientCount: CLIENT_COUNT,
    createSend: () => createBody(CHUNKED, LARGE_CHUNK, ENDLESS_BODY_BYTES / LARGE_PIECE_BYTES),
  },
  {
    name: 'bodies announced far over the limit',
    clientCount: CLIENT_COUNT,
    createSend: () => createBody(
      `Content-Length: ${ANNOUNCED_BODY_BYTES}`,
      LARGE_PIECE,
      ANNOUNCED_BODY_BYTES / LARGE_PIECE_BYTES,
    ),
  },
  {
    name: 'whole bodies of legal size',
    clientCount: CLIENT_COUNT,
    createSend: () => createBody(LEGAL_LENGTH, LARGE_PIECE, MAX_BODY_BYTES / LARGE_PIECE_BYTES),
  },
  {
    name: 'bodies of legal size in small pieces that stop just short',
    clientCount: CLIENT_COUNT,
    createSend: () => createBody(
      LEGAL_LENGTH,
      SMALL_PIECE,
      MAX_BODY_BYTES / SMALL_PIECE_BYTES - 1,
    ),
  },
  {
    name: 'large answers that are never read',
    clientCount: CLIENT_COUNT,
    createSend: () => ({
      head: createHead(LARGE_ANSWER_PATH, ['Content-Length: 0']),
      piece: NO_PIECE,
      pieceCount: 0,
      isReading: false,
    }),
  },
  {
    name: 'many requests at once on each connection, answers never read',
    clientCount: CLIENT_COUNT,
    createSend: () => ({
      head: Array.from({ length: PIPELINED_REQUESTS }, () => (
        createHead(LARGE_ANSWER_PATH, ['Content-Length: 0']))).join(''),
      piece: NO_PIECE,
      pieceCount: 0,
      isReading: false,
    }),
  },
  {
    name: 'requests that name more pieces than a host can hold',
    clientCount: CLIENT_COUNT,
    createSend: () => ({
      head: createHead('x', [
        'Content-Length: 0',
        'X-Token-Usage: 10,10',
        'X-Piece-Key: 7c1e07a291bd',
        `X-Pieces: ${takePieceCount()}`,
      ], REQUEST_KIND.stream),
      piece: NO_PIECE,
      pieceCount: 0,
      isReading: true,
    }),
  },
  {
    name: 'heads that stop short on many connections',
    clientCount: HEAD_CLIENT_COUNT,
    createSend: () => ({
      head: createHead('x', [`X-Long: ${'x'.repeat(LONG_HEADER_BYTES)}`]).slice(0, -2),
      piece: NO_PIECE,
      pieceCount: 0,
      isReading: true,
    }),
  },
];
