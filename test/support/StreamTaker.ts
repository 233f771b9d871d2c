import { request as sendRequest } from 'node:http';
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { HEADERS } from '../../platform/WIRE.ts';
import { SOAK_HOST_NAME, SOAK_KEY } from '../../scripts/soak/createSoakManifest.ts';
import { STREAM_EVENT_COUNT } from './VersionedEngine.ts';

/** Tries that reached a host. */
const MAX_TRIES = 6;
/** Time in which a caller tries again while no host runs. */
const PATIENCE_MS = 30_000;
const RETRY_DELAY_MS = 300;
const DEADLINE_MS = 8_000;
const EVENT = /id: (\d+)\ndata: (.*)\n\n/g;

/** Outcome of a stream over all tries of its caller. */
export interface TakenStream {
  /** Software version of each event, in order. */
  readonly versions: readonly string[];
  readonly isComplete: boolean;
  /** Tries that resumed the stream after it had begun, and those that were answered by events. */
  readonly resumptionCount: number;
  readonly continuedCount: number;
  /** Tries that reached no host, since it was not running. */
  readonly unreachedCount: number;
}

/** What one client attempt brought. */
interface AttemptOutcome {
  /** Software version of each of its events. */
  readonly versions: readonly string[];
  /** Whether a host accepted the connection. */
  readonly isReached: boolean;
}

/** An address that callers connect to. */
export interface CallerAddress {
  readonly host: string;
  readonly port: number;
}

/** Sends one client attempt; resolves with the versions of its events when it has ended. */
function attempt(
  address: CallerAddress,
  headers: Readonly<Record<string, string>>,
): Promise<AttemptOutcome> {
  return new Promise((resolve) => {
    let text = '';
    let isReached = false;
    const finish = (): void => {
      const versions = [...text.matchAll(EVENT)].map(([, , version]) => version ?? '');
      resolve({ versions, isReached });
    };
    const request = sendRequest({
      ...address, agent: false, method: 'POST', path: '/stream/x', headers,
    }, (response) => {
      response.on('data', (chunk: Buffer) => {
        text += response.statusCode === 200 ? chunk.toString() : '';
      });
      response.on('error', finish);
      response.on('close', finish);
    });
    request.on('socket', (socket) => socket.once('connect', () => {
      isReached = true;
    }));
    request.on('error', finish);
    request.end();
  });
}

/**
 * Reads a stream as a caller does that resumes it at any host after each broken attempt.
 *
 * @param id - id of the first attempt
 * @param getAddress - returns the host of a try
 * @returns what the caller has after its last try
 */
export async function takeStream(
  id: string,
  getAddress: (tryIndex: number) => CallerAddress,
): Promise<TakenStream> {
  const versions: string[] = [];
  let begunId: string | null = null;
  let resumptionCount = 0;
  let continuedCount = 0;
  let unreachedCount = 0;
  const untilMs = performance.now() + PATIENCE_MS;
  for (let tryIndex = 0; versions.length < STREAM_EVENT_COUNT; tryIndex += 1) {
    if (tryIndex - unreachedCount >= MAX_TRIES || performance.now() > untilMs) {
      break;
    }
    const attemptId = `${id}-${tryIndex}`;
    // eslint-disable-next-line no-await-in-loop -- a try follows the one before
    const { versions: added, isReached } = await attempt(getAddress(tryIndex), {
      host: SOAK_HOST_NAME,
      [HEADERS.requestId]: attemptId,
      [HEADERS.authorization]: `Bearer ${SOAK_KEY}`,
      [HEADERS.deadlineMs]: String(DEADLINE_MS),
      ...(begunId === null ? {} : {
        [HEADERS.resumedRequestId]: begunId, [HEADERS.lastEventId]: String(versions.length),
      }),
    });
    unreachedCount += isReached ? 0 : 1;
    resumptionCount += begunId !== null && isReached ? 1 : 0;
    continuedCount += begunId !== null && added.length > 0 ? 1 : 0;
    begunId ??= added.length > 0 ? attemptId : null;
    versions.push(...added);
    // eslint-disable-next-line no-await-in-loop -- a caller waits before its next try
    await sleep(RETRY_DELAY_MS);
  }
  return {
    versions,
    isComplete: versions.length === STREAM_EVENT_COUNT,
    resumptionCount,
    continuedCount,
    unreachedCount,
  };
}
